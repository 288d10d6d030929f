#pragma once

#include "Flow/BucketTable.h"

#include <concepts>
#include <vector>

namespace wisteriadock {

// The input of a table policy. The shares are sorted by server id, never empty, and each weight is above zero.
struct TableInput {
    ServiceId service;
    double evenness = 0.5;
    std::vector<ServerShare> shares;
};

// A type with a function that assigns a server to each bucket. BucketTable::build selects it by FlowPolicy.
template <typename T>
concept TablePolicy = requires(const TableInput& input)
{
    {
        T::assign(input)
        } -> std::same_as<std::vector<BackendServerId>>;
};

// Weighted rendezvous hashing with a cap on each server's buckets: its share plus a margin. At evenness 1 the margin is
// zero, so the buckets match the weights to within one bucket. At evenness 0 there is no cap, so the fewest buckets
// move when servers change.
struct BoundedRendezvousAssignment {
    static std::vector<BackendServerId> assign(const TableInput&);
};

// Bucket number modulo the number of servers. Nearly every bucket moves when a server is added or removed.
struct ModuloAssignment {
    static std::vector<BackendServerId> assign(const TableInput&);
};

// Consistent hashing on a ring with virtual nodes in proportion to the weights.
struct RingAssignment {
    static std::vector<BackendServerId> assign(const TableInput&);
};

// RingAssignment with bounded loads: a server takes at most its share of the buckets plus a quarter; further buckets go
// to the next server on the ring.
struct BoundedRingAssignment {
    static std::vector<BackendServerId> assign(const TableInput&);
};

}
