#pragma once

#include "Core/Clock.h"
#include "Membership/MembershipSettings.h"

namespace wisteriadock {

// Detects pauses of this process and isolation of this balancer, that is, whether its view may be stale. Used by
// Membership.
class IsolationDetector {
public:
    IsolationDetector(const MembershipSettings&, TimePoint now);

    // True if the process was paused until now. State from before the pause may be stale, and times measured across it
    // do not count against other members.
    bool detectPause(TimePoint now);
    void onTick(TimePoint now) { lastTick_ = now; }
    // Call when another balancer echoed a nonce that was sent at that time.
    void answerReceived(TimePoint nonceSentAt);
    // True if no balancer answered recently, so that more members have to be probed.
    bool isSearching(TimePoint now) const;
    // Whether the view is isolated; see MembersView::isolated.
    bool isIsolated(bool othersAlive, TimePoint now) const;

private:
    const MembershipSettings& settings_;
    TimePoint lastTick_;
    // The start of the process or the end of its last pause. Answers to older nonces do not count.
    TimePoint runningSince_;
    // From then on a balancer without other members counts as alone, not as isolated.
    TimePoint startupEndsAt_;
    // When the newest nonce that was answered was sent.
    TimePoint lastAnswer_ = TimePoint::min();
};

}
