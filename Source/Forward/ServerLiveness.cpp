#include "Forward/ServerLiveness.h"

#include <algorithm>

namespace wisteriadock {

std::chrono::milliseconds ejectionTime(std::uint32_t failures, const OpeningSettings& settings)
{
    constexpr std::uint32_t mostDoublings = 8;
    return std::min(settings.baseEjectionTime * (1 << std::min(failures, mostDoublings)), settings.maxEjectionTime);
}

// A server that died without a word answers nobody, and its entry stays for several heartbeats. One unanswered opening
// is enough to leave it out; since the network loses packets too, the first time is short and any sign of life ends it.
bool ServerLiveness::review(KnownServer& server, TimePoint now) const
{
    ServerObservation& seen = server.seen;
    const bool waitsTooLong
        = seen.waitingSince != TimePoint::max() && now - seen.waitingSince > settings_.openingTimeout;
    if (!waitsTooLong)
        return false;
    // The wait is over; once the time is up, the next flow to this server is a trial and waits anew.
    const auto pause = ejectionTime(seen.failures, settings_);
    ++seen.failures;
    seen.waitingSince = TimePoint::max();
    seen.ejectedUntil = now + pause;
    return true;
}

bool ServerLiveness::isUnresponsive(const KnownServer& server, TimePoint now)
{
    const bool awaitsTrial = server.seen.failures > 0 && server.seen.waitingSince != TimePoint::max();
    return server.seen.ejectedUntil > now || awaitsTrial;
}

}
