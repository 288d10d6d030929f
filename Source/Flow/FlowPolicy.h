#pragma once

#include "Core/Error.h"

#include <string_view>

namespace wisteriadock {

// How buckets are assigned to backend servers, and whether established flows are protected when the assignment changes.
enum class FlowPolicy {
    Protected, // The default: bounded rendezvous hashing; table changes are coordinated, so planned ones break no flow.
    Modulo, // Baseline: hash modulo the number of servers, without state.
    ConsistentHash, // Baseline: a hash ring with virtual nodes, without state.
    BoundedLoads, // Baseline: the hash ring with a cap on each server's share of the buckets, without state.
};

std::string_view nameOf(FlowPolicy);
Result<FlowPolicy> parseFlowPolicy(std::string_view);

// Whether an arbiter coordinates table changes and flows are tracked.
constexpr bool protectsFlows(FlowPolicy policy) { return policy == FlowPolicy::Protected; }

}
