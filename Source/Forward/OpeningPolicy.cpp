#include "Forward/OpeningPolicy.h"

#include "Core/Hash.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace wisteriadock {

namespace {

    bool wasTried(const FlowRecord* former, std::uint32_t token)
    {
        if (!former)
            return false;
        return former->token == token || std::ranges::count(former->previousTokens, token) > 0;
    }

    struct Candidate {
        KnownServer* server = nullptr;
        float cost = 0;
        std::uint64_t rank = 0;

        bool isBetterThan(const Candidate& other) const
        {
            if (!other.server || cost != other.cost)
                return !other.server || cost < other.cost;
            return rank > other.rank;
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

OpeningPolicy::Standing OpeningPolicy::standingOf(const KnownServer& server, const FlowRecord* former, TimePoint now)
{
    const ZoneReachability::State reach = reach_.stateOf(server.entry.availabilityZone, now);
    if (reach == ZoneReachability::State::Unreachable || ServerLiveness::isUnresponsive(server, now)
        || GroupLiveness::isEjected(*server.group, now))
        return Standing::Silent;
    if (reach == ZoneReachability::State::Unproven)
        return Standing::Unproven;
    return wasTried(former, server.token) ? Standing::Tried : Standing::Good;
}

OpeningChoice OpeningPolicy::choose(const std::vector<KnownServer*>& servers, const EvacuatedZones& evacuated,
    const FlowEnds& ends, const FlowRecord* former, TimePoint now)
{
    OpeningChoice choice;
    std::array<Candidate, standings> best;
    const std::uint64_t flowHash
        = hashPair((std::uint64_t(ends.caller.address) << 16) | ends.caller.port, ends.route.address);
    const float usualFailingShare = ServerCost::failingShareOf(servers, now);
    const ColdStartLimit* coldStart = servers.empty() ? nullptr : coldStartLimitOf(servers.front()->entry.service);
    groups_.review(servers, now);
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
        const Standing standing = standingOf(*server, former, now);
        choice.unresponsive += standing == Standing::Unproven || standing == Standing::Silent;
        const Candidate candidate { server, cost_.costOf(*server, usualFailingShare, now),
            hashPair(flowHash, server->entry.number) };
        Candidate& rival = best[static_cast<std::size_t>(standing)];
        if (candidate.isBetterThan(rival))
            rival = candidate;
    }
    const auto chosen = std::ranges::find_if(best, [](const Candidate& candidate) { return candidate.server; });
    if (chosen == best.end())
        return choice;
    choice.server = chosen->server;
    choice.isLastResort = chosen - best.begin() >= static_cast<std::ptrdiff_t>(Standing::Unproven);
    choice.load = cost_.loadOf(*choice.server);
    choice.failingShare = choice.server->seen.outcomes.failingShare(now);
    choice.isTrial = choice.server->seen.failures > 0 || choice.server->group->failures > 0;
    return choice;
}

}
