#pragma once

#include "Core/Endpoint.h"
#include "Core/Identifiers.h"

#include <cstddef>
#include <cstdint>

namespace wisteriadock {

// The hash of a flow: of its service, the service's address and the client's. All balancers compute the same value.
// The service is part of it, so that flows of two services that once used the same address never share an entry.
using FlowKey = std::uint64_t;

FlowKey flowKeyOf(ServiceId, Endpoint client, Endpoint serviceAddress);

// Each service's flows fall into this many buckets by the top bits of their keys.
inline constexpr std::size_t bucketCountLog2 = 12;
inline constexpr std::size_t bucketCount = std::size_t(1) << bucketCountLog2;

using BucketIndex = std::uint32_t;

constexpr BucketIndex bucketOf(FlowKey key) { return static_cast<BucketIndex>(key >> (64 - bucketCountLog2)); }

}
