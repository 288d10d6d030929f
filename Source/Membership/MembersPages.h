#pragma once

#include "Membership/MemberTable.h"
#include "Membership/MembershipMessages.h"

#include <vector>

namespace wisteriadock {

// The answer to a request for rows. Rows of many members are much alike, so a requester that takes packed rows gets
// some seventy in a datagram instead of ten; when all of a fleet start together, that is what they wait for.
MembersPageMessage pageFor(const MembersRequestMessage&, const MemberTable&);

// The rows of a page, packed or not. None when they can't be read.
std::vector<MemberRow> rowsOf(const MembersPageMessage&);

}
