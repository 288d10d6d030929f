#include "Forward/OpeningPolicy.h"

#include "Core/Hash.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    bool wasTried(const FlowMemory* former, std::uint32_t token)
    {
        if (!former)
            return false;
        return former->token == token || std::ranges::count(former->formerTries, token) > 0;
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

OpeningChoice OpeningPolicy::choose(const std::vector<KnownServer*>& servers, const EmptiedZones& emptied,
    const FlowEnds& ends, const FlowMemory* former, TimePoint now)
{
    OpeningChoice choice;
    Candidate best;
    Candidate bestTried;
    Candidate bestSilent;
    const std::uint64_t flowHash
        = hashPair((std::uint64_t(ends.caller.address) << 16) | ends.caller.port, ends.route.address);
    const float usualFailingShare = ServerCost::failingShareOf(servers, now);
    for (KnownServer* server : servers) {
        if (!server->mayTakeFlows())
            continue;
        if (emptied.contains(server->entry.availabilityZone)) {
            ++choice.emptied;
            continue;
        }
        ++choice.eligible;
        if (review(*server, now))
            choice.leftOut.push_back(server);
        const Candidate candidate { server, cost_.costOf(*server, usualFailingShare, now),
            hashPair(flowHash, server->entry.number) };
        Candidate* group = &best;
        if (SilentServers::isSilent(*server, now) || reach_.isOutOfReach(server->entry.availabilityZone, now)) {
            ++choice.silent;
            group = &bestSilent;
        } else if (wasTried(former, server->token)) {
            group = &bestTried;
        }
        if (candidate.isBetterThan(*group))
            *group = candidate;
    }
    Candidate chosen = best.server ? best : bestTried;
    if (!chosen.server) {
        chosen = bestSilent;
        choice.isDesperate = chosen.server != nullptr;
    }
    choice.server = chosen.server;
    if (choice.server) {
        choice.load = cost_.loadOf(*choice.server);
        choice.failing = choice.server->seen.outcomes.failingShare(now);
        choice.isTrial = choice.server->seen.failures > 0;
    }
    return choice;
}

}
