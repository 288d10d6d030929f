#include "Membership/SelfObservation.h"

#include <algorithm>

namespace wisteriadock {

SelfObservation::SelfObservation(const MembershipSettings& settings, TimePoint now)
    : settings_(settings)
    , lastTick_(now)
    , observedSince_(now)
    , aloneAfter_(now + settings.startObservation)
{
}

bool SelfObservation::wokeUp(TimePoint now)
{
    const bool woke = now - lastTick_ > settings_.pauseThreshold;
    if (woke)
        observedSince_ = now;
    lastTick_ = std::max(lastTick_, woke ? now : lastTick_);
    return woke;
}

void SelfObservation::answerReceived(TimePoint nonceSentAt) { lastAnswer_ = std::max(lastAnswer_, nonceSentAt); }

bool SelfObservation::isSearching(TimePoint now) const
{
    return lastAnswer_ < observedSince_ || now - lastAnswer_ > settings_.isolationAfter / 2;
}

bool SelfObservation::isIsolated(bool othersAlive, TimePoint now) const
{
    const bool answeredSince = lastAnswer_ >= observedSince_;
    // Alone: the last one of a zone that goes on serving. At the start others may be there that it has yet to find.
    if (!othersAlive)
        return !answeredSince && now < aloneAfter_;
    return !answeredSince || now - lastAnswer_ > settings_.isolationAfter;
}

}
