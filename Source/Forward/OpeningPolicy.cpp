#include "Forward/OpeningPolicy.h"

#include "Core/Hash.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace wisteriadock {

namespace {

    bool wasTried(const FlowRecord* previous, std::uint32_t token)
    {
        if (!previous)
            return false;
        return previous->token == token || std::ranges::count(previous->previousTokens, token) > 0;
    }

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

}

const ColdStartLimit* OpeningPolicy::coldStartLimitOf(const std::string& service) const
{
    if (coldStartLimits_.empty())
        return nullptr;
    const auto found = coldStartLimits_.find(service);
    return found == coldStartLimits_.end() ? nullptr : &found->second;
}

OpeningPolicy::Rank OpeningPolicy::rankOf(const KnownServer& server, const FlowRecord* previous, TimePoint now)
{
    const ZoneReachability::State zoneState = reachability_.stateOf(server.entry.availabilityZone, now);
    if (zoneState == ZoneReachability::State::Unreachable || ServerLiveness::isUnresponsive(server, now)
        || GroupLiveness::isEjected(*server.group, now))
        return Rank::Unresponsive;
    if (zoneState == ZoneReachability::State::Unproven)
        return Rank::Unproven;
    return wasTried(previous, server.token) ? Rank::Tried : Rank::Responsive;
}

OpeningChoice OpeningPolicy::choose(const std::vector<KnownServer*>& servers, const EvacuatedZones& evacuated,
    const FlowEnds& ends, const FlowRecord* previous, TimePoint now)
{
    OpeningChoice choice;
    std::array<Candidate, rankCount> best;
    const std::uint64_t flowHash
        = hashPair((std::uint64_t(ends.caller.address) << 16) | ends.caller.port, ends.route.address);
    const float usualFailingShare = ServerCost::failingShareOf(servers, now);
    const ColdStartLimit* coldStart = servers.empty() ? nullptr : coldStartLimitOf(servers.front()->entry.service);
    groupLiveness_.review(servers, now);
    for (KnownServer* server : servers) {
        if (!server->mayTakeFlows())
            continue;
        if (evacuated.contains(server->entry.availabilityZone)) {
            ++choice.evacuated;
            continue;
        }
        if (coldStart && coldUntil(*server, *coldStart, evacuated) > now
            && !coldStartLimiter_.mayOpenFlow(server->entry, *coldStart, now)) {
            ++choice.coldLimited;
            continue;
        }
        ++choice.eligible;
        if (review(*server, now))
            choice.ejected.push_back(server);
        const Rank rank = rankOf(*server, previous, now);
        choice.unresponsive += rank == Rank::Unproven || rank == Rank::Unresponsive;
        const Candidate candidate { server, cost_.costOf(*server, usualFailingShare, now),
            hashPair(flowHash, server->entry.number) };
        Candidate& bestOfRank = best[static_cast<std::size_t>(rank)];
        if (candidate.isBetterThan(bestOfRank))
            bestOfRank = candidate;
    }
    const auto chosen = std::ranges::find_if(best, [](const Candidate& candidate) { return candidate.server; });
    if (chosen == best.end())
        return choice;
    choice.server = chosen->server;
    choice.isLastResort = chosen - best.begin() >= static_cast<std::ptrdiff_t>(Rank::Unproven);
    choice.load = cost_.loadOf(*choice.server);
    choice.failingShare = choice.server->seen.outcomes.failingShare(now);
    choice.isTrial = choice.server->seen.failures > 0 || choice.server->group->failures > 0;
    return choice;
}

}
