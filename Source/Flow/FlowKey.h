#pragma once

#include "Core/Endpoint.h"
#include "Core/Identifiers.h"

#include <cstddef>
#include <cstdint>

namespace wisteriadock {

// The hash of a flow over its service id, service address and client address. All balancers compute the same value.
// The service id is included so that flows of two services that use the same address at different times never share a
// flow table entry.
using FlowKey = std::uint64_t;

FlowKey flowKeyOf(ServiceId, Endpoint client, Endpoint serviceAddress);

// The number of buckets of each service. The top bits of a flow's key give its bucket.
inline constexpr std::size_t bucketCountLog2 = 12;
inline constexpr std::size_t bucketCount = std::size_t(1) << bucketCountLog2;

using BucketIndex = std::uint32_t;

constexpr BucketIndex bucketOf(FlowKey key) { return static_cast<BucketIndex>(key >> (64 - bucketCountLog2)); }

}
