#pragma once

#include "Balancer/RequestProblem.h"

#include <array>
#include <cstdint>

namespace wisteriadock {

// The number of requests that ended with each RequestOutcomeKind, indexed by it.
using RequestCounts = std::array<std::uint64_t, requestOutcomeKindCount>;

}
