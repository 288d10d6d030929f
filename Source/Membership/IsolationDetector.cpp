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
    // A balancer without live members is alone and goes on serving, except at startup, when it may not have found
    // others yet.
    if (!othersAlive)
        return !answeredSincePause && now < startupEndsAt_;
    return !answeredSincePause || now - lastAnswer_ > settings_.isolatedAfter;
}

}
