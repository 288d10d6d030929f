#pragma once

#include "Core/Error.h"
#include "Request/PendingForwardTable.h"

#include <string>
#include <string_view>

namespace wisteriadock {

// The text forms of instances and tokens in HTTP headers between balancers: ID-INCARNATION, such as "17-1700000000000",
// and ID-INCARNATION-NUMBER, such as "17-1700000000000-4". The readers fail with InvalidArgument.
std::string writeInstance(const BalancerInstance&);
Result<BalancerInstance> readInstance(std::string_view text);
std::string writeToken(const ForwardToken&);
Result<ForwardToken> readToken(std::string_view text);

// Reads a text that consists of a decimal number only. Fails with InvalidArgument.
Result<std::uint64_t> readNumber(std::string_view text);

}
