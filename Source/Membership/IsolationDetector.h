#pragma once

#include "Core/Clock.h"
#include "Membership/MembershipSettings.h"

namespace wisteriadock {

// Watches whether this balancer itself can trust what it believes: whether it was paused, and since when others have
// answered it.
class IsolationDetector {
public:
    IsolationDetector(const MembershipSettings&, TimePoint now);

    // True when the process was paused until now. Whatever it believed then may be old, and what it measures across the
    // gap says nothing about others.
    bool detectPause(TimePoint now);
    void onTick(TimePoint now) { lastTick_ = now; }
    // Another balancer answered a nonce that was sent at that time.
    void answerReceived(TimePoint nonceSentAt);
    // True when nobody answered lately, which calls for more probes.
    bool isSearching(TimePoint now) const;
    bool isIsolated(bool othersAlive, TimePoint now) const;

private:
    const MembershipSettings& settings_;
    TimePoint lastTick_;
    // Answers to nonces from before this moment do not count.
    TimePoint runningSince_;
    TimePoint startupEndsAt_;
    TimePoint lastAnswer_ = TimePoint::min();
};

}
