#include "Experiment/ZoneFaults.h"

#include <fmt/format.h>

namespace wisteriadock {

Result<void> setZoneFaults(Deployment& deployment, std::size_t zone, const FaultSettings& settings)
{
    BalancerFleet& balancers = deployment.balancers();
    FaultProxyControl& proxy = deployment.proxy();
    const std::string inside = fmt::format("/{}/*", zone + 1);
    const std::string outside = fmt::format("/[!{}]/*", zone + 1);
    for (const std::string kind : { "peer", "flow" }) {
        BOOST_OUTCOME_TRYV(proxy.setFaults({ kind + inside, balancers.sourcesOutsideZone(zone) }, settings));
        BOOST_OUTCOME_TRYV(proxy.setFaults({ kind + outside, balancers.sourcesOfZone(zone) }, settings));
    }
    // Connections between balancers do not identify the source zone. All connections to the zone's request addresses
    // are therefore affected, also from inside the zone, while its balancers still reach those of other zones. Messages
    // about request keys get lost.
    BOOST_OUTCOME_TRYV(proxy.setFaults({ "request" + inside, "127.*" }, settings));
    return proxy.setFaults({ "platform" + inside, "127.*" }, settings);
}

}
