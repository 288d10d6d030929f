#pragma once

#include "Core/Identifiers.h"
#include "Flow/FlowKey.h"
#include "Flow/FlowPolicy.h"

#include <bitset>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace wisteriadock {

// A set of buckets of one service.
using BucketSet = std::bitset<bucketCount>;

// A backend server's claim on new flows: its weight relative to the other candidates. Zero means none.
struct ServerShare {
    BackendServerId server;
    std::uint32_t weight = 0;

    bool operator==(const ServerShare&) const = default;
};

// Names the backend server of each bucket of one service. It depends on nothing but the policy, the evenness and the
// shares, so that balancers that know the same configuration hold the same table without talking. Immutable.
class BucketTable {
public:
    // The shares may be in any order; those without weight are left out.
    static std::shared_ptr<const BucketTable> build(
        FlowPolicy, double evenness, ServiceId, std::span<const ServerShare>);

    // The server of a bucket; an id of zero when the service has no server that takes flows.
    BackendServerId at(BucketIndex bucket) const { return servers_[bucket]; }

    // Adds the buckets in which the two tables differ.
    static void addDifference(const BucketTable&, const BucketTable&, BucketSet&);

private:
    explicit BucketTable(std::vector<BackendServerId> servers)
        : servers_(std::move(servers))
    {
    }

    std::vector<BackendServerId> servers_;
};

}
