#pragma once

#include "Flow/BucketTable.h"

#include <concepts>
#include <vector>

namespace wisteriadock {

// The candidates of a service, sorted by id, each with a weight above zero; never empty.
struct TableInput {
    ServiceId service;
    double evenness = 0.5;
    std::vector<ServerShare> shares;
};

// A way to give each of a service's buckets a server. BucketTable::build picks one by FlowPolicy.
template <typename T>
concept TablePolicy = requires(const TableInput& input)
{
    {
        T::assign(input)
        } -> std::same_as<std::vector<BackendServerId>>;
};

// Rendezvous hashing in which no server gets more than its share of the buckets plus a margin. The evenness sets the
// margin: 1 leaves none, so that shares are equal to within a bucket; 0 sets no cap, so that the fewest buckets move.
struct BoundedRendezvousAssignment {
    static std::vector<BackendServerId> assign(const TableInput&);
};

// Bucket number modulo the number of servers; nearly every bucket moves when a server comes or goes.
struct ModuloAssignment {
    static std::vector<BackendServerId> assign(const TableInput&);
};

// A hash ring with virtual nodes in proportion to the weights.
struct RingAssignment {
    static std::vector<BackendServerId> assign(const TableInput&);
};

// The same ring; a server whose share of the buckets is a quarter above the mean passes further ones on.
struct BoundedRingAssignment {
    static std::vector<BackendServerId> assign(const TableInput&);
};

}
