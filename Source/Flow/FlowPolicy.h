#pragma once

#include "Core/Error.h"

#include <string_view>

namespace wisteriadock {

// How new flows find a backend server, and whether established ones are protected when that answer changes.
enum class FlowPolicy {
    Protected, // The default: even buckets, and changes that pass through an arbiter. Breaks no flow by plan.
    Modulo, // Baseline: hash modulo the number of servers, without state.
    ConsistentHash, // Baseline: a hash ring with virtual nodes, without state.
    BoundedLoads, // Baseline: the ring, with each server's share of the buckets capped, without state.
};

std::string_view nameOf(FlowPolicy);
Result<FlowPolicy> parseFlowPolicy(std::string_view);

// Whether changes of the table pass through an arbiter and flows are tracked.
constexpr bool protectsFlows(FlowPolicy policy) { return policy == FlowPolicy::Protected; }

}
