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

    // Of all requests to these servers. When all fail alike, the cause lies elsewhere, and none is worse than another.
    float failingShareOf(const std::vector<KnownServer*>& servers, TimePoint now)
    {
        float answered = 0;
        float unanswered = 0;
        for (const KnownServer* server : servers) {
            answered += server->seen.outcomes.answered(now);
            unanswered += server->seen.outcomes.unanswered(now);
        }
        return unanswered > 0 ? unanswered / (answered + unanswered) : 0;
    }

}

OpeningChoice OpeningPolicy::choose(
    const std::vector<KnownServer*>& servers, const FlowEnds& ends, const FlowMemory* former, TimePoint now)
{
    OpeningChoice choice;
    Candidate best;
    Candidate bestTried;
    Candidate bestSilent;
    const std::uint64_t flowHash
        = hashPair((std::uint64_t(ends.caller.address) << 16) | ends.caller.port, ends.route.address);
    const float usualFailingShare = failingShareOf(servers, now);
    for (KnownServer* server : servers) {
        if (!server->mayTakeFlows())
            continue;
        ++choice.eligible;
        if (review(*server, now))
            choice.leftOut.push_back(server);
        const Candidate candidate { server, costOf(*server, usualFailingShare, now),
            hashPair(flowHash, server->entry.number) };
        const bool isLeftOut = server->seen.leftOutUntil > now;
        const bool awaitsTrial = server->seen.failures > 0 && server->seen.waitingSince != TimePoint::max();
        Candidate* group = &best;
        if (isLeftOut || awaitsTrial || isOutOfReach(server->entry.availabilityZone, now)) {
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
        choice.failing = choice.server->seen.outcomes.failingShare(now);
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
    const auto pause = leaveOutAfter(seen.failures);
    ++seen.failures;
    seen.waitingSince = TimePoint::max();
    seen.leftOutUntil = now + pause;
    return true;
}

std::chrono::milliseconds OpeningPolicy::leaveOutAfter(std::uint32_t failures) const
{
    constexpr std::uint32_t mostDoublings = 8;
    return std::min(settings_.firstLeaveOut * (1 << std::min(failures, mostDoublings)), settings_.longestLeaveOut);
}

bool OpeningPolicy::isUnproven(const Zone& zone, TimePoint now) const
{
    return zone.lastProgress == TimePoint::min() || now - zone.lastProgress > settings_.zoneProof;
}

// When a zone is cut off, every server of another zone is silent at once, and the busier the own servers are, the more
// the others tempt: in such a cut two of three new flows went to the far side, each server being tried for itself. So
// another zone that has not been heard of lately gets one flow at a time, and none for a while after that one failed.
bool OpeningPolicy::isOutOfReach(const std::string& availabilityZone, TimePoint now)
{
    if (availabilityZone == availabilityZone_)
        return false;
    Zone& zone = otherZones_[availabilityZone];
    if (zone.waitingSince != TimePoint::max() && now - zone.waitingSince > settings_.openingPatience) {
        zone.waitingSince = TimePoint::max();
        zone.leftOutUntil = now + leaveOutAfter(zone.failures);
        ++zone.failures;
        zoneChanges_.push_back({ availabilityZone, false, zone.failures });
    }
    const bool isBeingTried = zone.waitingSince != TimePoint::max();
    return zone.leftOutUntil > now || (isBeingTried && isUnproven(zone, now));
}

void OpeningPolicy::noteTry(const KnownServer& server, TimePoint now)
{
    if (server.entry.availabilityZone == availabilityZone_)
        return;
    Zone& zone = otherZones_[server.entry.availabilityZone];
    if (zone.waitingSince == TimePoint::max() && isUnproven(zone, now))
        zone.waitingSince = now;
}

void OpeningPolicy::noteProgress(const KnownServer& server, TimePoint now)
{
    if (server.entry.availabilityZone == availabilityZone_)
        return;
    Zone& zone = otherZones_[server.entry.availabilityZone];
    if (zone.failures > 0)
        zoneChanges_.push_back({ server.entry.availabilityZone, true, zone.failures });
    zone = {};
    zone.lastProgress = now;
}

float OpeningPolicy::loadOf(const KnownServer& server, TimePoint) const
{
    const ServerObservation& seen = server.seen;
    const auto idle = static_cast<float>(seen.flows - std::min(seen.flows, seen.busy));
    const float load = static_cast<float>(seen.busy) + idle * settings_.idleFlowWeight;
    return load / static_cast<float>(std::max(1U, server.entry.slots));
}

// A server that takes flows and then answers only some of their requests looks well to health checks and to the store.
// The cost rises with the share that it fails, so that it is spared and not shut out: it gets flows again as its
// failures fade, or when the others have more to do.
float OpeningPolicy::costOf(const KnownServer& server, float usualFailingShare, TimePoint now) const
{
    float cost
        = settings_.loadWeight * (loadOf(server, now) + 1.0F / static_cast<float>(std::max(1U, server.entry.slots)));
    if (server.warmUntil > now)
        cost *= settings_.coldFactor;
    if (server.entry.availabilityZone != availabilityZone_)
        cost += settings_.zonePenalty;
    const float excess = server.seen.outcomes.failingShare(now) - usualFailingShare;
    return excess > settings_.failingTolerance ? cost + excess * settings_.failingPenalty : cost;
}

}
