#pragma once

#include "Flow/BucketTable.h"
#include "Flow/FlowPolicy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace wisteriadock {

// How much of its configured weight each backend server gets, in thousandths; servers that are not named get all of it.
// The arbiter of a service sets them (ServerWeights), and every table that it leads to carries them.
using WeightFactors = std::map<BackendServerId, std::uint16_t>;

inline constexpr std::uint16_t fullFactor = 1000;
// So many servers may be named, so that the factors fit the messages beside the flows.
inline constexpr std::size_t maxFactors = 32;

// What a service's table is made from, apart from the factors; it follows from the configuration.
struct TableDefinition {
    FlowPolicy policy = FlowPolicy::Protected;
    ServiceId service;
    double evenness = 0;
    // The servers that take new flows, sorted by id.
    std::vector<ServerShare> shares;

    std::shared_ptr<const BucketTable> build(const WeightFactors&) const;

    bool operator==(const TableDefinition&) const = default;
};

}
