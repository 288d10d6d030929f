#pragma once

#include "Core/EventLog.h"
#include "Forward/TokenRouter.h"
#include "Forwarder/ForwarderMetrics.h"
#include "Forwarder/PeerSync.h"
#include "LoadReports/LoadExchange.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace wisteriadock {

// Connects LoadExchange to the network, the router and the log: passes it the observed load and the messages of other
// balancers, sends its messages, and gives the router what is known of each service's load. Forwarder owns it, if load
// reports are switched on, and calls tick() with each of its ticks.
class LoadReporter {
public:
    LoadReporter(BalancerId self, const std::string& availabilityZone, std::uint64_t seed, LoadExchangeSettings,
        PeerSync&, TokenRouter&, EventLog&, ForwarderMetrics&);
    // PeerSync holds a reference to this.
    LoadReporter(const LoadReporter&) = delete;
    LoadReporter& operator=(const LoadReporter&) = delete;

    void tick(TimePoint now);

private:
    // Counting the slots visits the servers of a service, so the result is kept for some time.
    static constexpr std::chrono::seconds slotLifetime { 5 };

    std::uint32_t slotsOf(const std::string& service, const std::string& zone);
    void perform(const LoadActions&, TimePoint now);
    void logRefusedRows(const LoadRowsRefused&, TimePoint now);
    std::string nameOf(BalancerId) const;
    void passLoads(TimePoint now);
    void updateMetrics(TimePoint now);

    const std::string zone_;
    PeerSync& peerSync_;
    TokenRouter& router_;
    EventLog& log_;
    ForwarderMetrics& metrics_;
    LoadExchange exchange_;
    // By service and zone.
    std::map<std::pair<std::string, std::string>, std::uint32_t> slots_;
    TimePoint slotsCountedAt_ {};
    // Services whose load the router was given last.
    std::set<std::string> services_;
    // Balancers whose rows were refused since the last count of slots. Each is logged once in that time.
    std::set<BalancerId> refused_;
};

}
