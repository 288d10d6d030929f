#pragma once

#include "Core/Error.h"
#include "Membership/MemberTable.h"
#include "Membership/MembershipMessages.h"

#include <vector>

namespace wisteriadock {

// The answer to a request for rows. Rows of many members are much alike, so a requester that takes packed rows gets
// some sixty in a datagram instead of ten; when all of a fleet start together, that is what they wait for.
MembersPageMessage pageFor(const MembersRequestMessage&, const MemberTable&);

// The rows of a page, packed or not. Fails with InvalidArgument for packed rows that can't be read.
Result<std::vector<MemberRow>> rowsOf(const MembersPageMessage&);

}
