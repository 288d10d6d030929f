#include "Forward/ServerCost.h"

#include <algorithm>

namespace wisteriadock {

float ServerCost::loadOf(const KnownServer& server) const
{
    const ServerObservation& seen = server.seen;
    const auto idle = static_cast<float>(seen.flows - std::min(seen.flows, seen.busy));
    const float load = static_cast<float>(seen.busy) + idle * settings_.idleFlowWeight;
    return load / static_cast<float>(std::max(1U, server.entry.slots));
}

// The cost rises with the share of unanswered requests above the average of the service, so that a failing server gets
// fewer new flows but still some. If all servers fail alike, the cause lies elsewhere, and the cost does not change.
float ServerCost::costOf(
    const KnownServer& server, const std::string& nearZone, float usualFailingShare, TimePoint now) const
{
    float cost = settings_.loadWeight * (loadOf(server) + 1.0F / static_cast<float>(std::max(1U, server.entry.slots)));
    if (server.warmUntil > now)
        cost *= settings_.coldFactor;
    if (server.entry.availabilityZone != nearZone)
        cost += settings_.zonePenalty;
    const float excess = server.seen.outcomes.failingShare(now) - usualFailingShare;
    return excess > settings_.failingTolerance ? cost + excess * settings_.failingPenalty : cost;
}

float ServerCost::failingShareOf(const std::vector<ServerGroup*>& groups, TimePoint now)
{
    float answered = 0;
    float unanswered = 0;
    for (const ServerGroup* group : groups) {
        answered += group->outcomes.answered(now);
        unanswered += group->outcomes.unanswered(now);
    }
    return unanswered > 0 ? unanswered / (answered + unanswered) : 0;
}

}
