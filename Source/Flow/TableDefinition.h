#pragma once

#include "Flow/BucketTable.h"
#include "Flow/FlowPolicy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace wisteriadock {

// The factor by which each backend server's configured weight is multiplied, in thousandths. Servers without an entry
// have fullFactor. The arbiter of a service computes the factors (ServerWeights); they are part of each table.
using WeightFactors = std::map<BackendServerId, std::uint16_t>;

inline constexpr std::uint16_t fullFactor = 1000;
// Maximum number of entries, so that the factors fit into a message together with the flows.
inline constexpr std::size_t maxFactors = 32;

// The part of the configuration that determines a service's bucket table, together with the weight factors. FlowEngine
// makes one per service from each configuration; TableSynchronizer builds the tables.
struct TableDefinition {
    FlowPolicy policy = FlowPolicy::Protected;
    ServiceId service;
    // From 0 (fewest buckets move when servers change) to 1 (equal shares of the buckets).
    double evenness = 0;
    // The servers that take new flows, sorted by server id.
    std::vector<ServerShare> shares;

    std::shared_ptr<const BucketTable> build(const WeightFactors&) const;

    bool operator==(const TableDefinition&) const = default;
};

}
