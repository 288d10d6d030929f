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

// A backend server and its weight for new flows, relative to the other servers of the service. A server of weight zero
// gets no buckets.
struct ServerShare {
    BackendServerId server;
    std::uint32_t weight = 0;

    bool operator==(const ServerShare&) const = default;
};

// Maps each bucket of one service to a backend server. TableDefinition builds it. The result depends only on the
// arguments of build(), so balancers with the same configuration compute the same table without exchanging it.
// Immutable.
class BucketTable {
public:
    // The shares may be in any order; those of weight zero are skipped. The evenness is from 0 (fewest buckets move
    // when servers change) to 1 (equal shares of the buckets).
    static std::shared_ptr<const BucketTable> build(
        FlowPolicy, double evenness, ServiceId, std::span<const ServerShare>);

    // The server of a bucket; an id of zero when no server of the service takes new flows.
    BackendServerId at(BucketIndex bucket) const { return servers_[bucket]; }

    // Sets the buckets in which the two tables differ; buckets that are already set stay set.
    static void addDifference(const BucketTable&, const BucketTable&, BucketSet&);

private:
    explicit BucketTable(std::vector<BackendServerId> servers)
        : servers_(std::move(servers))
    {
    }

    std::vector<BackendServerId> servers_;
};

}
