#pragma once

#include "Core/Error.h"
#include "Request/PendingForwardTable.h"

#include <string>
#include <string_view>

namespace wisteriadock {

// Holders and tokens in headers between balancers: "17-1700000000000" and "17-1700000000000-4".
std::string writeInstance(const BalancerInstance&);
Result<BalancerInstance> readInstance(std::string_view text);
std::string writeToken(const ForwardToken&);
Result<ForwardToken> readToken(std::string_view text);

// Reads a whole decimal number. Fails with InvalidArgument.
Result<std::uint64_t> readNumber(std::string_view text);

}
