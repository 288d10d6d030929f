#pragma once

#include "Configuration/Configuration.h"
#include "Core/Clock.h"
#include "Core/Error.h"
#include "Flow/FlowMessage.h"
#include "Flow/FlowSettings.h"
#include "Flow/RouteDecision.h"
#include "Membership/Member.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace wisteriadock {

// A message for the flow engine of another balancer. The transport may lose it; the engine retransmits where needed.
struct SendFlowMessage {
    BalancerId to;
    FlowMessage message;
};

using FlowActions = std::vector<SendFlowMessage>;

// Counters of one engine since its start; trackedFlows, exceptions and unsettledServices are current numbers.
struct FlowCounters {
    std::uint64_t trackedFlows = 0;
    std::uint64_t untrackedNewFlows = 0;
    std::uint64_t newFlows = 0;
    // Packets forwarded to an arbiter.
    std::uint64_t forwardedPackets = 0;
    // Table changes that this balancer started as the arbiter, settled at, and switched without all reports.
    std::uint64_t transitionsStarted = 0;
    std::uint64_t transitionsSettled = 0;
    std::uint64_t transitionsForced = 0;
    // Flows that stay on a server other than the one of their bucket, over all services, as of the last idle sweep.
    std::uint64_t exceptions = 0;
    std::uint64_t unsettledServices = 0;
};

// Selects the backend server for each packet, and coordinates every change of the bucket tables with the engines of the
// other balancers, so that all packets of a flow reach the same backend server whichever balancer receives them.
// docs/design/flows.md describes the protocol. The engine does no I/O: the caller passes packets and events in, and
// carries out the decisions and actions that are returned.
//
// route() may be called from many threads concurrently. All other functions must be called from one control thread.
class FlowEngine {
public:
    FlowEngine(FlowSettings, BalancerId self, std::uint64_t seed);
    ~FlowEngine();

    // Selects the destination of one packet.
    RouteDecision route(const FlowPacket&, TimePoint now);

    // Applies a configuration. A version that is not above the current one is ignored.
    FlowActions applyConfiguration(const std::shared_ptr<const Configuration>&, std::uint64_t version, TimePoint now);
    // Applies a membership view. The first view must not be applied before the seeds have answered or have not answered
    // for the duration of a lease: a balancer that sees no other member starts to serve by its own tables.
    FlowActions applyMembers(std::shared_ptr<const MembersView>, TimePoint now);
    // Processes a message from the engine of another balancer.
    FlowActions handle(BalancerId from, const FlowMessage&, TimePoint now);
    // Sends what is due and runs the timeouts. Must be called every 50 to 100 ms.
    FlowActions tick(TimePoint now);

    // Reports the result of a health check of a backend server. Only the service's arbiter uses it, so only the arbiter
    // needs to run checks.
    void setHealth(ServiceId, BackendServerId, bool isHealthy, TimePoint now);
    // Whether this balancer coordinates the table changes of the service.
    bool isArbiterOf(ServiceId) const;

    // Whether this balancer has a settled table and its exceptions for all services, and so may announce itself as
    // Serving. Stays true when services are added later.
    bool isSynchronized() const;
    // Begins a planned stop: flows that no other balancer may have seen are handed over. tick() must still be called.
    void beginLeave();
    // Whether the planned stop may be announced, because no flow and no table change depends on this balancer any more.
    bool mayLeave() const;
    // The server of a bucket in the settled table, for reports and tests; an id of zero if there is none.
    BackendServerId serverOfBucket(ServiceId, std::uint32_t bucket) const;
    FlowCounters counters() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

}
