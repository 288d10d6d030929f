#include "Forward/ServerLiveness.h"

#include <algorithm>

namespace wisteriadock {

std::chrono::milliseconds ejectionTime(std::uint32_t failures, const OpeningSettings& settings)
{
    constexpr std::uint32_t maxDoublings = 8;
    return std::min(settings.baseEjectionTime * (1 << std::min(failures, maxDoublings)), settings.maxEjectionTime);
}

// The entry of a crashed server stays in the store for several heartbeats, so one unanswered opening packet is enough
// to eject it. Since the packet may only have been lost, the first ejection is short, and any answer ends it.
bool ServerLiveness::review(KnownServer& server, TimePoint now) const
{
    ServerObservation& seen = server.seen;
    const bool waitsTooLong
        = seen.waitingSince != TimePoint::max() && now - seen.waitingSince > settings_.openingTimeout;
    if (!waitsTooLong)
        return false;
    // After the ejection the next flow to this server is a trial and starts a new wait.
    const auto duration = ejectionTime(seen.failures, settings_);
    ++seen.failures;
    seen.waitingSince = TimePoint::max();
    seen.ejectedUntil = now + duration;
    return true;
}

bool ServerLiveness::isUnresponsive(const KnownServer& server, TimePoint now)
{
    const bool awaitsTrial = server.seen.failures > 0 && server.seen.waitingSince != TimePoint::max();
    return server.seen.ejectedUntil > now || awaitsTrial;
}

}
