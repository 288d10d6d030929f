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

// A message for the flow engine of another balancer. It may be lost; the engine sends again what matters.
struct SendFlowMessage {
    BalancerId to;
    FlowMessage message;
};

using FlowActions = std::vector<SendFlowMessage>;

// Counters of one engine since its start.
struct FlowCounters {
    std::uint64_t trackedFlows = 0;
    std::uint64_t untrackedNewFlows = 0;
    std::uint64_t newFlows = 0;
    std::uint64_t forwardedPackets = 0;
    std::uint64_t transitionsStarted = 0;
    std::uint64_t transitionsSettled = 0;
    std::uint64_t transitionsForced = 0;
    // Flows that stay on a server other than the one their bucket names, over all services, as of the last sweep.
    std::uint64_t exceptions = 0;
    std::uint64_t unsettledServices = 0;
};

// Decides for each packet of a flow where it goes, and agrees with the engines of the other balancers on every change
// of that answer, so that a flow's packets reach one backend server whichever balancer they arrive at.
// docs/design/flows.md tells why it works. It does no I/O: packets and events go in, decisions and actions come out.
//
// route() may be called from many threads at once. The other calls belong to one control thread.
class FlowEngine {
public:
    FlowEngine(FlowSettings, BalancerId self, std::uint64_t seed);
    ~FlowEngine();

    RouteDecision route(const FlowPacket&, TimePoint now);

    // A configuration came into force. Versions that are not above the present one are ignored.
    FlowActions applyConfiguration(const std::shared_ptr<const Configuration>&, std::uint64_t version, TimePoint now);
    // The first view must not be applied before the seeds have answered or been silent for a lease: a balancer that
    // takes itself for the only one begins by its own tables.
    FlowActions applyMembers(std::shared_ptr<const MembersView>, TimePoint now);
    FlowActions handle(BalancerId from, const FlowMessage&, TimePoint now);
    // Call it every 50 to 100 ms.
    FlowActions tick(TimePoint now);

    // What a health check says of a backend server. Only the service's arbiter acts on it, so only it need check.
    void setHealth(ServiceId, BackendServerId, bool isHealthy, TimePoint now);
    bool isArbiterOf(ServiceId) const;

    // Whether this balancer holds what it needs to decide for all services; it may then call itself Serving.
    bool isSynchronized() const;
    // Begins a planned stop: what only this balancer knows goes to others. Keep ticking.
    void beginLeave();
    // Whether the planned stop that has begun may be announced: no flow and no change of a table depends on this
    // balancer.
    bool mayLeave() const;
    // The server that new flows of a bucket get now, for reports and tests.
    BackendServerId serverOfBucket(ServiceId, std::uint32_t bucket) const;
    FlowCounters counters() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

}
