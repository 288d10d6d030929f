#pragma once

#include "Balancer/RequestProblem.h"

#include <array>
#include <cstdint>

namespace wisteriadock {

// How many requests ended in which way, by RequestOutcomeKind.
using RequestCounts = std::array<std::uint64_t, requestOutcomeKindCount>;

}
