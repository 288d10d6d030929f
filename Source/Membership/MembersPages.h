#pragma once

#include "Core/Error.h"
#include "Membership/MemberTable.h"
#include "Membership/MembershipMessages.h"

#include <vector>

namespace wisteriadock {

// Creates the answer to a request for rows. The rows are compressed if the requester accepts that, so that a datagram
// holds several times as many. Called by Membership.
MembersPageMessage pageFor(const MembersRequestMessage&, const MemberTable&);

// Returns the rows of a page, compressed or not. Fails with InvalidArgument if compressed rows cannot be decoded.
Result<std::vector<MemberRow>> rowsOf(const MembersPageMessage&);

}
