#include "Membership/IsolationDetector.h"

#include <algorithm>

namespace wisteriadock {

IsolationDetector::IsolationDetector(const MembershipSettings& settings, TimePoint now)
    : settings_(settings)
    , lastTick_(now)
    , runningSince_(now)
    , startupEndsAt_(now + settings.startupTimeout)
{
}

bool IsolationDetector::detectPause(TimePoint now)
{
    const bool wasPaused = now - lastTick_ > settings_.pauseThreshold;
    if (wasPaused)
        runningSince_ = now;
    lastTick_ = std::max(lastTick_, wasPaused ? now : lastTick_);
    return wasPaused;
}

void IsolationDetector::answerReceived(TimePoint nonceSentAt) { lastAnswer_ = std::max(lastAnswer_, nonceSentAt); }

bool IsolationDetector::isSearching(TimePoint now) const
{
    return lastAnswer_ < runningSince_ || now - lastAnswer_ > settings_.isolatedAfter / 2;
}

bool IsolationDetector::isIsolated(bool othersAlive, TimePoint now) const
{
    const bool answeredSincePause = lastAnswer_ >= runningSince_;
    // Alone: the last one of a zone that goes on serving. At the start others may be there that it has yet to find.
    if (!othersAlive)
        return !answeredSincePause && now < startupEndsAt_;
    return !answeredSincePause || now - lastAnswer_ > settings_.isolatedAfter;
}

}
