#include "Experiment/PlatformControl.h"

namespace wisteriadock {

using Json = nlohmann::json;

Result<std::unique_ptr<PlatformControl>> PlatformControl::start(ProcessStarter& starter, AdminClient& client)
{
    BOOST_OUTCOME_TRY(process,
        starter.startListening("platform", "wisteriadock-standin-platform", { "--listen=127.0.0.1:0" }, { "" }));
    const Endpoint address = process->listening().value();
    return std::unique_ptr<PlatformControl>(new PlatformControl(client, std::move(process), address));
}

Result<void> PlatformControl::setVms(const std::vector<Vm>& vms)
{
    Json list = Json::array();
    for (const Vm& vm : vms) {
        list.push_back({
            { "name", vm.name },
            { "availability_zone", vm.availabilityZone },
            { "peer_address", vm.peerAddress },
            { "state", nameOf(vm.state) },
        });
    }
    BOOST_OUTCOME_TRYV(client_.post(address_, "/admin/vms", { { "vms", list }, { "lag_ms", vmListLag.count() } }));
    return boost::outcome_v2::success();
}

Result<void> PlatformControl::setDown(bool down)
{
    BOOST_OUTCOME_TRYV(client_.post(address_, "/admin/faults", { { "down", down ? "reset" : "up" } }));
    return boost::outcome_v2::success();
}

}
