#pragma once

#include "Core/Error.h"
#include "Request/ClaimTerm.h"

#include <string>
#include <string_view>

namespace wisteriadock {

// The platform key that holds the ownership record of an availability zone. TermControl reads and writes the record
// there as JSON.
std::string claimTermKey(std::string_view zone);

std::string writeClaimTerm(const ClaimTerm&);
// Fails with InvalidArgument when the text is not an ownership record.
Result<ClaimTerm> readClaimTerm(std::string_view text);

}
