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
#include "Forward/ServerSubset.h"
#include "Forward/ServiceDemand.h"
#include "Forward/ZoneReachability.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// The server chosen for one opening packet, with the reasons; for the log.
struct OpeningChoice {
    // Null if the service has no server that may take new flows.
    KnownServer* server = nullptr;
    // Number of servers that were compared, and of those that are ejected or whose zone may be unreachable.
    std::uint32_t eligible = 0;
    std::uint32_t unresponsive = 0;
    // Number of servers excluded because their zone is evacuated.
    std::uint32_t evacuated = 0;
    // Number of servers excluded because they are cold and this balancer's share of their limit is used up or zero.
    std::uint32_t coldLimited = 0;
    // The chosen server's load in requests per slot, as seen by this balancer.
    float load = 0;
    // The share of the chosen server's recent requests without an answer, 0 to 1.
    float failingShare = 0;
    // No responsive server was left, so an unresponsive one was chosen.
    bool isLastResort = false;
    // The chosen server or its group was ejected before, and this flow tests whether it answers.
    bool isTrial = false;
    // Servers that were newly ejected during this choice.
    std::vector<const KnownServer*> ejected {};
};

// The load balancing policy: chooses the backend server of a new flow. It takes the responsive server with the lowest
// cost and falls back to unresponsive ones if no other is left. Among equal ones it prefers those of its own subset,
// and otherwise decides by a hash of flow and server. TokenRouter calls it.
class OpeningPolicy {
public:
    // The latency must outlive this object.
    OpeningPolicy(const std::string& availabilityZone, const OpeningLatency& openingLatency,
        OpeningSettings settings = {}, ColdStartSettings cold = {})
        : availabilityZone_(availabilityZone)
        , cost_(settings)
        , coldStartLimiter_(availabilityZone, cold)
        , serverLiveness_(settings)
        , groupLiveness_(settings, openingLatency)
        , reachability_(availabilityZone, settings)
    {
    }

    // previous is the flow's record, or null. Servers that the flow tried before are avoided. Servers of evacuated
    // zones and cold servers beyond their limit are never chosen, even if no other server is left. nearZone: the zone
    // that ZoneSpillover selected for the flow; null for the own zone.
    OpeningChoice choose(const std::vector<ServerGroup*>& groups, const EvacuatedZones&, const FlowEnds&,
        const FlowRecord* previous, TimePoint now, const std::string* nearZone = nullptr);
    // Returns the slots of the servers that may get new flows, by zone. Evacuated and ejected ones are left out.
    std::vector<ZoneSlots> usableSlots(const std::vector<ServerGroup*>&, const EvacuatedZones&, TimePoint now) const;

    void setColdStartLimits(ColdStartLimits coldStartLimits) { coldStartLimits_ = std::move(coldStartLimits); }
    // See ServerSubset and ColdStartLimiter.
    void setBalancers(std::uint32_t self, std::vector<std::uint32_t> ids, bool isSettled, TimePoint now)
    {
        subset_.setBalancers(self, ids);
        coldStartLimiter_.setBalancers(self, std::move(ids), isSettled, now);
    }
    void tick(TimePoint now) { coldStartLimiter_.tick(now); }

    // Records that an opening packet was sent to the server. Without an answer within the opening timeouts, its group
    // or zone is ejected if expectsAnswer is set.
    void noteAttempt(const KnownServer& server, const EvacuatedZones& evacuated, bool expectsAnswer, TimePoint now)
    {
        if (const ColdStartLimit* coldStart = coldStartLimitOf(server.entry.service);
            coldStart && coldUntil(server, *coldStart, evacuated) > now)
            coldStartLimiter_.noteAttempt(server.entry, now);
        if (!expectsAnswer)
            return;
        reachability_.noteAttempt(server, now);
        GroupLiveness::noteAttempt(*server.group, now);
    }
    // Records that the server answered.
    void noteProgress(const KnownServer& server, TimePoint now)
    {
        reachability_.noteProgress(server, now);
        groupLiveness_.noteProgress(*server.group, now);
    }
    // Ejects the server if an opening packet has waited too long for its answer. Returns whether it did.
    bool review(KnownServer& server, TimePoint now) const { return serverLiveness_.review(server, now); }
    // Returns the changes of other zones' reachability since the last call.
    std::vector<ZoneReachabilityChange> takeZoneChanges() { return reachability_.takeChanges(); }
    // Returns the changes of groups' liveness since the last call.
    std::vector<GroupLivenessChange> takeGroupChanges() { return groupLiveness_.takeChanges(); }

private:
    // Ordered by preference: a server of a later rank is chosen only if earlier ranks are empty.
    enum class Rank { Responsive, Tried, Unproven, Unresponsive };
    static constexpr std::size_t rankCount = 4;

    struct Candidate {
        KnownServer* server = nullptr;
        float cost = 0;
        // The higher one wins among candidates of equal cost.
        std::uint64_t tieBreaker = 0;

        bool isBetterThan(const Candidate& other) const
        {
            if (!other.server || cost != other.cost)
                return !other.server || cost < other.cost;
            return tieBreaker > other.tieBreaker;
        }
    };

    // What the candidates of one choice are compared by, and the best of each rank so far.
    struct Comparison {
        const FlowRecord* previous = nullptr;
        const EvacuatedZones& evacuated;
        const ColdStartLimit* coldStart = nullptr;
        const std::string& nearZone;
        std::uint64_t flowHash = 0;
        float usualFailingShare = 0;
        TimePoint now;
        std::array<Candidate, rankCount> best {};
    };

    // Ejects zones, servers and groups that have left openings unanswered for too long.
    void reviewLiveness(const std::vector<ServerGroup*>&, OpeningChoice&, TimePoint now);
    void compare(const ServerGroup&, Comparison&, OpeningChoice&);
    std::uint64_t tieBreakerOf(const KnownServer&, std::uint64_t flowHash) const;
    // The rank of servers of the group that are responsive themselves and were not tried.
    Rank rankOf(const ServerGroup&, TimePoint now);
    static Rank rankOf(const KnownServer&, Rank groupRank, const FlowRecord* previous, TimePoint now);
    // Returns null for a service without a limit for cold servers.
    const ColdStartLimit* coldStartLimitOf(const std::string& service) const;

    const std::string availabilityZone_;
    ServerCost cost_;
    ColdStartLimiter coldStartLimiter_;
    ColdStartLimits coldStartLimits_;
    ServerSubset subset_;
    ServerLiveness serverLiveness_;
    GroupLiveness groupLiveness_;
    ZoneReachability reachability_;
};

}
