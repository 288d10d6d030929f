#pragma once

#include "Core/Clock.h"
#include "Forward/ColdStartLimit.h"
#include "Forward/EvacuatedZones.h"
#include "Forward/GroupLiveness.h"
#include "Forward/OpenFlowTable.h"
#include "Forward/OpeningSettings.h"
#include "Forward/ServerCost.h"
#include "Forward/ServerDirectory.h"
#include "Forward/ServerLiveness.h"
#include "Forward/ZoneReachability.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// The choice for one opening packet, with what decided it.
struct OpeningChoice {
    // Null when the service has no server that may take flows.
    KnownServer* server = nullptr;
    // How many servers may take flows, and how many of those were passed over as silent or not proven to be in reach.
    std::uint32_t eligible = 0;
    std::uint32_t unresponsive = 0;
    // How many could, if operators had not ordered their zones to be emptied.
    std::uint32_t evacuated = 0;
    // How many could, if they were not cold and this balancer's share of them used up.
    std::uint32_t coldLimited = 0;
    // The chosen server's load in requests for each slot, as far as this balancer knows.
    float load = 0;
    // The share of its requests that it left unanswered lately.
    float failingShare = 0;
    // All were silent, so that silence was not held against them.
    bool isLastResort = false;
    // A server that was left out gets this flow as a trial.
    bool isTrial = false;
    // Servers that were left out by this look at them.
    std::vector<const KnownServer*> ejected {};
};

// Chooses the backend server of a new flow: the one with the least cost, and none that seems dead while others do not.
// Equal servers are told apart by a hash of flow and server, so balancers that know nothing yet choose alike.
class OpeningPolicy {
public:
    // The times outlive this.
    OpeningPolicy(const std::string& availabilityZone, const OpeningLatency& openingLatency,
        OpeningSettings settings = {}, ColdStartSettings cold = {})
        : cost_(availabilityZone, settings)
        , coldStartLimiter_(availabilityZone, cold)
        , silence_(settings)
        , groups_(settings, openingLatency)
        , reach_(availabilityZone, settings)
    {
    }

    // former is what is remembered of the flow, or null. The servers that it tried are avoided. Those of emptied zones
    // are never chosen, nor cold ones beyond their rate, whatever becomes of the others.
    OpeningChoice choose(const std::vector<KnownServer*>& servers, const EvacuatedZones&, const FlowEnds&,
        const FlowRecord* former, TimePoint now);

    // What the operators' configuration says of cold servers.
    void setColdStartLimits(ColdStartLimits coldStartLimits) { coldStartLimits_ = std::move(coldStartLimits); }
    // See ColdStartLimiter.
    void setBalancers(std::uint32_t self, std::vector<std::uint32_t> ids, bool isSettled, TimePoint now)
    {
        coldStartLimiter_.setBalancers(self, std::move(ids), isSettled, now);
    }
    void tick(TimePoint now) { coldStartLimiter_.tick(now); }

    // An opening packet goes to the server.
    void noteAttempt(const KnownServer& server, const EvacuatedZones& evacuated, TimePoint now)
    {
        if (const ColdStartLimit* coldStart = coldStartLimitOf(server.entry.service);
            coldStart && coldUntil(server, *coldStart, evacuated) > now)
            coldStartLimiter_.noteAttempt(server.entry, now);
        reach_.noteAttempt(server, now);
        GroupLiveness::noteAttempt(*server.group, now);
    }
    // The server gave a sign of life.
    void noteProgress(const KnownServer& server, TimePoint now)
    {
        reach_.noteProgress(server, now);
        groups_.noteProgress(*server.group, now);
    }
    // Leaves the server out when an opening has waited too long for it. True when that is new.
    bool review(KnownServer& server, TimePoint now) const { return silence_.review(server, now); }
    // What became of other zones since the last call.
    std::vector<ZoneReachabilityChange> takeZoneChanges() { return reach_.takeChanges(); }
    // What became of servers that fell silent together since the last call.
    std::vector<GroupLivenessChange> takeGroupChanges() { return groups_.takeChanges(); }

private:
    // The better ones first.
    enum class Standing { Good, Tried, Unproven, Silent };
    static constexpr std::size_t standings = 4;

    Standing standingOf(const KnownServer&, const FlowRecord* former, TimePoint now);
    // Null for a service whose cold servers have no rate.
    const ColdStartLimit* coldStartLimitOf(const std::string& service) const;

    ServerCost cost_;
    ColdStartLimiter coldStartLimiter_;
    ColdStartLimits coldStartLimits_;
    ServerLiveness silence_;
    GroupLiveness groups_;
    ZoneReachability reach_;
};

}
