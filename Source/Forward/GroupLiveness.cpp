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

void GroupLiveness::review(const std::vector<KnownServer*>& servers, TimePoint now)
{
    if (settings_.groupEjectionThreshold < 2)
        return;
    for (const KnownServer* server : servers)
        server->group->servers = server->group->unresponsive = 0;
    const Duration timeout = this->timeout();
    for (const KnownServer* server : servers) {
        if (!server->mayTakeFlows())
            continue;
        ServerGroup& group = *server->group;
        const TimePoint since = server->seen.unansweredSince;
        ++group.servers;
        group.unresponsive += since != TimePoint::max() && since > group.lastProgress && now - since > timeout;
    }
    for (const KnownServer* server : servers) {
        ServerGroup& group = *server->group;
        const bool isTrialOver = group.trialSince != TimePoint::max() && now - group.trialSince > timeout;
        const std::uint32_t threshold = std::min(settings_.groupEjectionThreshold, group.servers);
        const bool isUnresponsive = group.failures == 0 && group.servers > 1 && group.unresponsive >= threshold;
        if (isTrialOver || isUnresponsive)
            eject(group, now);
    }
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
