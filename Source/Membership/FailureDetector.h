#pragma once

#include "Core/Clock.h"
#include "Membership/MemberTable.h"
#include "Membership/MembershipSettings.h"

#include <vector>

namespace wisteriadock {

// What is due for a member that owes an answer or is suspected.
enum class DetectorEventKind {
    IndirectProbeDue, // Repeat the probe, directly and through others.
    Suspected, // It answered nobody; tell it, so that it can refute.
    VerificationDue, // Others suspect it; probe it.
    DeclaredDead, // It did not refute in time and was declared dead.
};

struct DetectorEvent {
    BalancerId member;
    DetectorEventKind kind = DetectorEventKind::VerificationDue;
};

// Times the probes of members. A member is declared dead only by a balancer whose own probes it left unanswered,
// directly and through others, for suspectAfter and then for the time it has to refute.
class FailureDetector {
public:
    FailureDetector(const MembershipSettings&, MemberTable&);

    // A nonce was sent to the member.
    void probeSent(MemberRecord&, TimePoint now);
    // The member answered a nonce that was sent at that time.
    void answerReceived(MemberRecord&, TimePoint nonceSentAt);
    // Applies and returns what is due.
    std::vector<DetectorEvent> tick(TimePoint now);
    // Forgets all running probes: after a pause their time says nothing about others.
    void reset(TimePoint now);

private:
    void checkAnswer(MemberRecord&, TimePoint now, std::vector<DetectorEvent>&);
    void checkSuspicion(MemberRecord&, TimePoint now, std::vector<DetectorEvent>&);

    const MembershipSettings& settings_;
    MemberTable& table_;
};

}
