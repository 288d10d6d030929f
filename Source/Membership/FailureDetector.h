#pragma once

#include "Core/Clock.h"
#include "Membership/MemberTable.h"
#include "Membership/MembershipSettings.h"

#include <vector>

namespace wisteriadock {

// An event of a member that is suspected or whose probe is unanswered.
enum class DetectorEventKind {
    IndirectProbeDue, // A probe is unanswered: repeat it, directly and through other members.
    Suspected, // It is now suspected: probe it, so that it learns of the suspicion and can refute it.
    VerificationDue, // Other members report it suspected or dead: probe it.
    DeclaredDead, // It did not refute the suspicion in time.
};

struct DetectorEvent {
    BalancerId member;
    DetectorEventKind kind = DetectorEventKind::VerificationDue;
};

// Measures how long probes of members are unanswered and marks members as suspected or dead in the MemberTable.
// Membership calls it. A member is declared dead when this balancer's direct and indirect probes are unanswered for
// MembershipSettings::suspectAfter, and then for MemberTable::suspicionTimeout().
class FailureDetector {
public:
    FailureDetector(const MembershipSettings&, MemberTable&);

    // Call when a heartbeat that serves as a probe was sent to the member. Ignored for dead members.
    void probeSent(MemberRecord&, TimePoint now);
    // Call when the member, or another member on its behalf, echoed a nonce that was sent at that time.
    void answerReceived(MemberRecord&, TimePoint nonceSentAt);
    // Marks members whose timeouts have expired and returns what happened.
    std::vector<DetectorEvent> tick(TimePoint now);
    // Discards all unanswered probes and restarts all suspicion timeouts. Call after a pause of the process, since the
    // time that passed during it does not count against other members.
    void reset(TimePoint now);

private:
    void checkAnswer(MemberRecord&, TimePoint now, std::vector<DetectorEvent>&);
    void checkSuspicion(MemberRecord&, TimePoint now, std::vector<DetectorEvent>&);

    const MembershipSettings& settings_;
    MemberTable& table_;
};

}
