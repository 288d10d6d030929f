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

OpeningChoice OpeningPolicy::choose(
    const std::vector<KnownServer*>& servers, const FlowEnds& ends, const FlowMemory* former, TimePoint now) const
{
    OpeningChoice choice;
    Candidate best;
    Candidate bestTried;
    Candidate bestSilent;
    const std::uint64_t flowHash
        = hashPair((std::uint64_t(ends.caller.address) << 16) | ends.caller.port, ends.route.address);
    for (KnownServer* server : servers) {
        if (!server->mayTakeFlows())
            continue;
        ++choice.eligible;
        review(*server, now);
        const Candidate candidate { server, costOf(*server, now), hashPair(flowHash, server->entry.number) };
        const bool isLeftOut = server->seen.leftOutUntil > now;
        const bool awaitsTrial = server->seen.failures > 0 && server->seen.waitingSince != TimePoint::max();
        Candidate* group = &best;
        if (isLeftOut || awaitsTrial) {
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
        choice.load = loadOf(*choice.server, now);
        choice.isTrial = choice.server->seen.failures > 0;
    }
    return choice;
}

// A server that died without a word answers nobody, and its entry stays for several heartbeats. Every flow that it gets
// until then costs its caller at least the 200 ms to the next copy. One unanswered opening is enough to leave it out;
// since the network loses packets too, the first time is short and any sign of life ends it.
bool OpeningPolicy::review(KnownServer& server, TimePoint now) const
{
    ServerObservation& seen = server.seen;
    const bool waitsTooLong
        = seen.waitingSince != TimePoint::max() && now - seen.waitingSince > settings_.openingPatience;
    if (!waitsTooLong)
        return false;
    // The wait is over; once the time is up, the next flow to this server is a trial and waits anew.
    const auto doublings = std::min<std::uint32_t>(seen.failures, 8);
    const auto pause = std::min(settings_.firstLeaveOut * (1 << doublings), settings_.longestLeaveOut);
    ++seen.failures;
    seen.waitingSince = TimePoint::max();
    seen.leftOutUntil = now + pause;
    return true;
}

float OpeningPolicy::loadOf(const KnownServer& server, TimePoint) const
{
    const ServerObservation& seen = server.seen;
    const auto idle = static_cast<float>(seen.flows - std::min(seen.flows, seen.busy));
    const float load = static_cast<float>(seen.busy) + idle * settings_.idleFlowWeight + seen.loadElsewhere;
    return load / static_cast<float>(std::max(1U, server.entry.slots));
}

float OpeningPolicy::costOf(const KnownServer& server, TimePoint now) const
{
    float cost = loadOf(server, now) + 1.0F / static_cast<float>(std::max(1U, server.entry.slots));
    if (server.warmUntil > now)
        cost *= settings_.coldFactor;
    if (server.entry.availabilityZone != availabilityZone_)
        cost += settings_.zonePenalty;
    return cost;
}

}
