#pragma once

#include "Core/Clock.h"
#include "Membership/Member.h"
#include "Membership/MembershipMessages.h"

#include <cstdint>
#include <optional>

namespace wisteriadock {

// The state that a balancer keeps for one member or for itself. Stored in MemberTable.
struct MemberRecord {
    // Member::state holds the last state reported by the member, or Dead.
    Member member;
    // The member's own version number of its row within one incarnation; see MemberRow.
    std::uint32_t sequence = 0;
    // Some balancer got no answer from it. Views still show the last reported state.
    bool suspected = false;
    // This balancer got no answer from it.
    bool suspectedLocally = false;
    // Another balancer reported it dead without a prior suspicion. Only this balancer's own probes can confirm that.
    bool disputed = false;
    // Dead after it announced that it was leaving.
    bool hasLeft = false;
    // When it became suspected or dead.
    TimePoint changedAt;
    // When the newest nonce that the member answered was sent.
    TimePoint lastContact = TimePoint::min();
    // When the oldest unanswered probe was sent; see FailureDetector.
    std::optional<TimePoint> unansweredSince;
    bool indirectProbesSent = false;
    // The newest nonce received from it, to be echoed.
    std::uint32_t lastNonce = 0;
    // The queued gossip about it carries its MemberDetails.
    bool gossipHasDetails = false;
    // The number of members that it last reported to know; 0 before its first heartbeat.
    std::uint32_t membersKnown = 0;

    bool isAlive() const { return member.state != MemberState::Dead; }
};

// Converts a record to the row that is sent to other balancers.
MemberRow rowOf(const MemberRecord&, bool withDetails);

// False for a row whose fields are out of range.
bool isWellFormed(const MemberRow&);
// True if the row reports its member as dead or as having left.
bool isDeadOrLeft(const MemberRow&);
MemberState stateOf(const MemberRow&);
// Converts a row to a member. The row must have details.
Member memberOf(const MemberRow&);

}
