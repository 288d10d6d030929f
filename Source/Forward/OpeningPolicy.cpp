#include "Forward/OpeningPolicy.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cstddef>

namespace wisteriadock {

namespace {

    bool wasTried(const FlowRecord* previous, std::uint32_t token)
    {
        if (!previous)
            return false;
        return previous->token == token || std::ranges::count(previous->previousTokens, token) > 0;
    }

}

const ColdStartLimit* OpeningPolicy::coldStartLimitOf(const std::string& service) const
{
    if (coldStartLimits_.empty())
        return nullptr;
    const auto found = coldStartLimits_.find(service);
    return found == coldStartLimits_.end() ? nullptr : &found->second;
}

OpeningPolicy::Rank OpeningPolicy::rankOf(const ServerGroup& group, TimePoint now)
{
    const ZoneReachability::State zoneState = reachability_.stateOf(group.availabilityZone, now);
    if (zoneState == ZoneReachability::State::Unreachable || GroupLiveness::isEjected(group, now))
        return Rank::Unresponsive;
    return zoneState == ZoneReachability::State::Unproven ? Rank::Unproven : Rank::Responsive;
}

OpeningPolicy::Rank OpeningPolicy::rankOf(
    const KnownServer& server, Rank groupRank, const FlowRecord* previous, TimePoint now)
{
    if (ServerLiveness::isUnresponsive(server, now))
        return Rank::Unresponsive;
    return groupRank == Rank::Responsive && wasTried(previous, server.token) ? Rank::Tried : groupRank;
}

void OpeningPolicy::reviewLiveness(const std::vector<ServerGroup*>& groups, OpeningChoice& choice, TimePoint now)
{
    for (ServerGroup* group : groups) {
        reachability_.stateOf(group->availabilityZone, now);
        absl::erase_if(
            group->awaited, [](const KnownServer* server) { return server->seen.unansweredSince == TimePoint::max(); });
        for (KnownServer* server : group->awaited) {
            if (server->mayTakeFlows() && review(*server, now))
                choice.ejected.push_back(server);
        }
    }
    groupLiveness_.review(groups, now);
}

void OpeningPolicy::compare(const ServerGroup& group, Comparison& comparison, OpeningChoice& choice)
{
    const TimePoint now = comparison.now;
    const bool isEvacuated = comparison.evacuated.contains(group.availabilityZone);
    const Rank groupRank = rankOf(group, now);
    for (KnownServer* server : group.members) {
        if (!server->mayTakeFlows())
            continue;
        if (isEvacuated) {
            ++choice.evacuated;
            continue;
        }
        if (comparison.coldStart && coldUntil(*server, *comparison.coldStart, comparison.evacuated) > now
            && !coldStartLimiter_.mayOpenFlow(server->entry, *comparison.coldStart, now)) {
            ++choice.coldLimited;
            continue;
        }
        ++choice.eligible;
        const Rank rank = rankOf(*server, groupRank, comparison.previous, now);
        choice.unresponsive += rank == Rank::Unproven || rank == Rank::Unresponsive;
        const Candidate candidate { server,
            cost_.costOf(*server, comparison.nearZone, comparison.usualFailingShare, now),
            tieBreakerOf(*server, comparison.flowHash) };
        Candidate& bestOfRank = comparison.best[static_cast<std::size_t>(rank)];
        if (candidate.isBetterThan(bestOfRank))
            bestOfRank = candidate;
    }
}

std::vector<ZoneSlots> OpeningPolicy::usableSlots(
    const std::vector<ServerGroup*>& groups, const EvacuatedZones& evacuated, TimePoint now) const
{
    std::vector<ZoneSlots> zones;
    for (const ServerGroup* group : groups) {
        if (evacuated.contains(group->availabilityZone) || reachability_.isEjected(group->availabilityZone, now)
            || GroupLiveness::isEjected(*group, now))
            continue;
        ZoneSlots zone { group->availabilityZone, 0 };
        for (const KnownServer* server : group->members) {
            if (server->mayTakeFlows() && !ServerLiveness::isUnresponsive(*server, now))
                zone.slots += static_cast<float>(server->entry.slots);
        }
        if (zone.slots > 0)
            zones.push_back(std::move(zone));
    }
    return zones;
}

std::uint64_t OpeningPolicy::tieBreakerOf(const KnownServer& server, std::uint64_t flowHash) const
{
    constexpr std::uint64_t preferred = std::uint64_t(1) << 63;
    const bool isPreferred = server.entry.availabilityZone == availabilityZone_ && subset_.contains(server.entry);
    return (hashPair(flowHash, server.entry.number) >> 1) | (isPreferred ? preferred : 0);
}

OpeningChoice OpeningPolicy::choose(const std::vector<ServerGroup*>& groups, const EvacuatedZones& evacuated,
    const FlowEnds& ends, const FlowRecord* previous, TimePoint now, const std::string* nearZone)
{
    OpeningChoice choice;
    if (groups.empty())
        return choice;
    Comparison comparison { previous, evacuated, coldStartLimitOf(groups.front()->service),
        nearZone ? *nearZone : availabilityZone_, hashOf(ends), ServerCost::failingShareOf(groups, now), now };
    reviewLiveness(groups, choice, now);
    const auto isNear = [&](const ServerGroup* group) { return group->availabilityZone == comparison.nearZone; };
    const auto nearGroup = std::ranges::find_if(groups, isNear);
    if (nearGroup != groups.end())
        compare(**nearGroup, comparison, choice);
    // Other zones hold most of the servers and are seldom needed, so they are compared only if they could win.
    const Candidate& nearBest = comparison.best[static_cast<std::size_t>(Rank::Responsive)];
    if (!nearBest.server || nearBest.cost >= cost_.minOtherZoneCost()) {
        for (const ServerGroup* group : groups) {
            if (!isNear(group))
                compare(*group, comparison, choice);
        }
    }
    const auto chosen
        = std::ranges::find_if(comparison.best, [](const Candidate& candidate) { return candidate.server; });
    if (chosen == comparison.best.end())
        return choice;
    choice.server = chosen->server;
    choice.isLastResort = chosen - comparison.best.begin() >= static_cast<std::ptrdiff_t>(Rank::Unproven);
    choice.load = cost_.loadOf(*choice.server);
    choice.failingShare = choice.server->seen.outcomes.failingShare(now);
    choice.isTrial = choice.server->seen.failures > 0 || choice.server->group->failures > 0;
    return choice;
}

}
