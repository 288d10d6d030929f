#pragma once

#include "Balancer/PacketCounters.h"
#include "Balancer/RequestFrontend.h"
#include "Flow/FlowEngine.h"
#include "Membership/Member.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>
#include <cstdint>
#include <memory>

namespace wisteriadock {

// Bytes of control traffic sent and received since the start, between balancers and with the platform. Excludes packets
// of flows and callers' requests.
struct ControlBytes {
    std::uint64_t peers = 0;
    std::uint64_t platform = 0;
    std::uint64_t configuration = 0;
    // Messages about requests that went by HTTP/2 because they exceed a datagram.
    std::uint64_t requests = 0;

    std::uint64_t sum() const { return peers + platform + configuration + requests; }
};

// A snapshot of a balancer's counters and gauges, which BalancerDaemon fills in periodically. Counters run from the
// start of the process.
struct BalancerStatistics {
    PacketTotals packets;
    FlowCounters flow;
    RequestCounts requests {};
    RequestStatistics control;
    std::uint64_t openRequests = 0;
    ControlBytes controlBytes;
    std::uint64_t malformedPeerMessages = 0;
    std::uint64_t httpProtocolErrors = 0;
    std::uint64_t configurationVersion = 0;
    double processCpuSeconds = 0;
    double controlThreadCpuSeconds = 0;
    std::shared_ptr<const MembersView> members;
};

// Publishes the balancer's metrics in a Prometheus registry. BalancerDaemon calls update() on the control thread; the
// metrics endpoint reads the registry on its own thread.
class BalancerMetrics {
public:
    BalancerMetrics();

    void update(const BalancerStatistics&);
    const std::shared_ptr<prometheus::Registry>& registry() const { return registry_; }

private:
    static constexpr std::size_t memberStateCount = 4;

    prometheus::Counter& addCounter(const char* name, const char* help, const prometheus::Labels& labels = {});
    prometheus::Gauge& addGauge(const char* name, const char* help, const prometheus::Labels& labels = {});
    void updatePackets(const PacketTotals&);
    void updateFlow(const FlowCounters&);
    void updateMembers(const MembersView&);
    void updateRequests(const BalancerStatistics&);

    std::shared_ptr<prometheus::Registry> registry_;

    prometheus::Counter& packetsReceived_;
    prometheus::Counter& packetsToBackendServers_;
    prometheus::Counter& packetsToBalancers_;
    std::array<prometheus::Counter*, packetDropCount> packetsDropped_ {};

    prometheus::Counter& newFlows_;
    prometheus::Counter& untrackedNewFlows_;
    prometheus::Counter& transitionsStarted_;
    prometheus::Counter& transitionsSettled_;
    prometheus::Counter& transitionsForced_;
    prometheus::Gauge& trackedFlows_;
    prometheus::Gauge& exceptions_;
    prometheus::Gauge& unsettledServices_;

    std::array<prometheus::Counter*, requestOutcomeKindCount> requests_ {};
    prometheus::Gauge& openRequests_;
    prometheus::Gauge& queuedRequests_;
    prometheus::Gauge& claimsHeld_;
    prometheus::Gauge& recoveringBuckets_;
    prometheus::Gauge& lostBuckets_;
    prometheus::Counter& recoveries_;

    prometheus::Counter& controlBytes_;
    prometheus::Counter& peerBytes_;
    prometheus::Counter& platformBytes_;
    prometheus::Counter& configurationBytes_;
    prometheus::Counter& requestBytes_;
    prometheus::Counter& malformedPeerMessages_;
    prometheus::Counter& httpProtocolErrors_;

    prometheus::Gauge& configurationVersion_;
    std::array<prometheus::Gauge*, memberStateCount> members_ {};
    prometheus::Gauge& isolated_;
    prometheus::Counter& processCpuSeconds_;
    prometheus::Counter& controlThreadCpuSeconds_;
};

}
