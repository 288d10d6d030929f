#include "Forward/GroupLiveness.h"

#include "Forward/ServerLiveness.h"

#include <algorithm>

namespace wisteriadock {

// The usual opening latency within the configured limits; the timeout of a single server until a latency is known.
Duration GroupLiveness::timeout() const
{
    const Duration longest = settings_.openingTimeout;
    return std::clamp<Duration>(openingLatency_.outlierThreshold().value_or(longest),
        std::min<Duration>(settings_.minOpeningTimeout, longest), longest);
}

void GroupLiveness::review(const std::vector<ServerGroup*>& groups, TimePoint now)
{
    if (settings_.groupEjectionThreshold < 2)
        return;
    const Duration timeout = this->timeout();
    for (ServerGroup* group : groups) {
        const bool isTrialOver = group->trialSince != TimePoint::max() && now - group->trialSince > timeout;
        if (group->awaited.empty() && !isTrialOver)
            continue;
        countServers(*group, timeout, now);
        const std::uint32_t threshold = std::min(settings_.groupEjectionThreshold, group->servers);
        const bool isUnresponsive = group->failures == 0 && group->servers > 1 && group->unresponsive >= threshold;
        if (isTrialOver || isUnresponsive)
            eject(*group, now);
    }
}

void GroupLiveness::countServers(ServerGroup& group, Duration timeout, TimePoint now)
{
    group.unresponsive
        = static_cast<std::uint32_t>(std::ranges::count_if(group.awaited, [&](const KnownServer* server) {
              const TimePoint since = server->seen.unansweredSince;
              const bool isAwaited = since != TimePoint::max() && since > group.lastProgress;
              return isAwaited && server->mayTakeFlows() && now - since > timeout;
          }));
    group.servers = static_cast<std::uint32_t>(
        std::ranges::count_if(group.members, [](const KnownServer* server) { return server->mayTakeFlows(); }));
}

void GroupLiveness::eject(ServerGroup& group, TimePoint now)
{
    if (group.failures == 0)
        group.failedAt = now;
    group.trialSince = TimePoint::max();
    group.ejectedUntil = now + ejectionTime(group.failures, settings_);
    ++group.failures;
    changes_.push_back(
        { group.service, group.availabilityZone, false, group.unresponsive, group.servers, group.failures });
}

bool GroupLiveness::isEjected(const ServerGroup& group, TimePoint now)
{
    return group.failures > 0 && (group.ejectedUntil > now || group.trialSince != TimePoint::max());
}

void GroupLiveness::noteAttempt(ServerGroup& group, TimePoint now)
{
    if (group.failures > 0 && group.trialSince == TimePoint::max())
        group.trialSince = now;
}

void GroupLiveness::noteProgress(ServerGroup& group, TimePoint now)
{
    if (group.failures > 0) {
        group.returnedAt = now;
        changes_.push_back(
            { group.service, group.availabilityZone, true, group.unresponsive, group.servers, group.failures });
    }
    group.failures = 0;
    group.trialSince = TimePoint::max();
    group.ejectedUntil = TimePoint::min();
    group.lastProgress = now;
}

}
