#pragma once

#include "Core/Error.h"
#include "Request/ClaimTerm.h"

#include <string>
#include <string_view>

namespace wisteriadock {

// The platform's key for the ownership record of one availability zone, and the record as the JSON that stands there.
std::string claimTermKey(std::string_view zone);

std::string writeClaimTerm(const ClaimTerm&);
// Fails with InvalidArgument when the text is no record.
Result<ClaimTerm> readClaimTerm(std::string_view text);

}
