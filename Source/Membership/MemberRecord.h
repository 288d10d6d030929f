#pragma once

#include "Core/Clock.h"
#include "Membership/Member.h"
#include "Membership/MembershipMessages.h"

#include <cstdint>
#include <optional>

namespace wisteriadock {

// What a balancer knows of one member, itself included.
struct MemberRecord {
    // Its state is what the member said last, or Dead.
    Member member;
    std::uint32_t sequence = 0;
    // Somebody got no answer from it; views go on showing the state it said last.
    bool suspected = false;
    // This balancer itself got no answer from it.
    bool suspectedLocally = false;
    // Somebody holds it dead who may be wrong, so only a probe of this balancer's own settles it.
    bool disputed = false;
    // Dead after it had said that it leaves.
    bool hasLeft = false;
    // Since when it is suspected or dead.
    TimePoint changedAt;
    // When the latest nonce was sent that the member answered.
    TimePoint lastContact = TimePoint::min();
    // When the oldest probe was sent that it has not answered; see FailureDetector.
    std::optional<TimePoint> unansweredSince;
    bool indirectProbesSent = false;
    // Its latest nonce, to be echoed.
    std::uint32_t lastNonce = 0;
    bool gossipHasDetails = false;
    // How many members it said last that it knows; 0 before it said anything.
    std::uint32_t membersKnown = 0;

    bool isAlive() const { return member.state != MemberState::Dead; }
};

// The row that tells others of a member.
MemberRow rowOf(const MemberRecord&, bool withDetails);

// False for a row that no balancer sends.
bool isWellFormed(const MemberRow&);
// True when the row says that its member died or left.
bool isDeadOrLeft(const MemberRow&);
MemberState stateOf(const MemberRow&);
// The member that a row with details tells of.
Member memberOf(const MemberRow&);

}
