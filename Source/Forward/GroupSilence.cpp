#include "Forward/GroupSilence.h"

#include "Forward/SilentServers.h"

#include <algorithm>

namespace wisteriadock {

// As long as an opening may usually take here. Until that is known, as long as a single server is waited for.
Duration GroupSilence::patience() const
{
    const Duration longest = settings_.openingPatience;
    return std::clamp<Duration>(
        times_.usualLimit().value_or(longest), std::min<Duration>(settings_.shortestPatience, longest), longest);
}

void GroupSilence::review(const std::vector<KnownServer*>& servers, TimePoint now)
{
    if (settings_.silentServersOfAGroup < 2)
        return;
    for (const KnownServer* server : servers)
        server->group->servers = server->group->silent = 0;
    const Duration patience = this->patience();
    for (const KnownServer* server : servers) {
        if (!server->mayTakeFlows())
            continue;
        ServerGroup& group = *server->group;
        const TimePoint since = server->seen.silentSince;
        ++group.servers;
        group.silent += since != TimePoint::max() && since > group.lastProgress && now - since > patience;
    }
    for (const KnownServer* server : servers) {
        ServerGroup& group = *server->group;
        const bool isTrialOver = group.triedSince != TimePoint::max() && now - group.triedSince > patience;
        const std::uint32_t enough = std::min(settings_.silentServersOfAGroup, group.servers);
        const bool hasFallenSilent = group.failures == 0 && group.servers > 1 && group.silent >= enough;
        if (isTrialOver || hasFallenSilent)
            leaveOut(group, now);
    }
}

void GroupSilence::leaveOut(ServerGroup& group, TimePoint now)
{
    if (group.failures == 0)
        group.failedAt = now;
    group.triedSince = TimePoint::max();
    group.leftOutUntil = now + leaveOutAfter(group.failures, settings_);
    ++group.failures;
    changes_.push_back({ group.service, group.availabilityZone, false, group.silent, group.servers, group.failures });
}

bool GroupSilence::isLeftOut(const ServerGroup& group, TimePoint now)
{
    return group.failures > 0 && (group.leftOutUntil > now || group.triedSince != TimePoint::max());
}

void GroupSilence::noteTry(ServerGroup& group, TimePoint now)
{
    if (group.failures > 0 && group.triedSince == TimePoint::max())
        group.triedSince = now;
}

void GroupSilence::noteProgress(ServerGroup& group, TimePoint now)
{
    if (group.failures > 0) {
        group.returnedAt = now;
        changes_.push_back(
            { group.service, group.availabilityZone, true, group.silent, group.servers, group.failures });
    }
    group.failures = 0;
    group.triedSince = TimePoint::max();
    group.leftOutUntil = TimePoint::min();
    group.lastProgress = now;
}

}
