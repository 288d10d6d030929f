#pragma once

#include "Core/Endpoint.h"
#include "StandIns/SeededRandom.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wisteriadock {

// A balancer that the fabric sprays packets to.
struct FabricTarget {
    Endpoint address;
    // Its share of the packets relative to the others.
    double weight = 1;
    std::uint64_t packets = 0;
};

// Chooses a balancer for each packet by seeded random, without regard to flows. Decides only; FabricStandIn sends.
class FabricSprayer {
public:
    explicit FabricSprayer(std::uint64_t seed);

    // Replaces the list. A balancer that was listed before goes on with its count.
    void setTargets(const std::vector<FabricTarget>&);

    // The address for the next packet; it is unset when no balancer with a weight is listed.
    Endpoint next();

    // The listed balancers and those that were listed earlier, the latter with a weight of 0.
    const std::vector<FabricTarget>& targets() const { return targets_; }
    std::uint64_t unroutedPackets() const { return unroutedPackets_; }

private:
    // Balancers that left are remembered up to this many rows in all.
    static constexpr std::size_t maxTargetCount = 4096;

    std::vector<FabricTarget> targets_;
    // Running sums of the weights, in the order of targets_.
    std::vector<double> cumulativeWeights_;
    SeededRandom random_;
    std::uint64_t unroutedPackets_ = 0;
};

}
