#pragma once

#include "Core/Endpoint.h"
#include "StandIns/SeededRandom.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wisteriadock {

// A balancer that receives a share of the fabric's packets.
struct FabricTarget {
    Endpoint address;
    // Its share of the packets relative to the other targets. 0 gets none.
    double weight = 1;
    // Packets sent to it so far.
    std::uint64_t packets = 0;
};

// Chooses a balancer at random for each packet, without regard to flows. The random source is seeded. Does no I/O;
// FabricStandIn sends the packets.
class FabricSprayer {
public:
    explicit FabricSprayer(std::uint64_t seed);

    // Replaces the list of balancers. A balancer that was listed before keeps its packet count.
    void setTargets(const std::vector<FabricTarget>&);

    // Returns the address for the next packet and counts the packet. The address is unset when no listed balancer has a
    // weight above 0.
    Endpoint next();

    // The listed balancers and those that were listed earlier; the latter have weight 0.
    const std::vector<FabricTarget>& targets() const { return targets_; }
    // Packets for which there was no balancer.
    std::uint64_t unroutedPackets() const { return unroutedPackets_; }

private:
    // Listed and earlier balancers together; further ones are ignored.
    static constexpr std::size_t maxTargetCount = 4096;

    std::vector<FabricTarget> targets_;
    // Running sums of the weights, in the order of targets_.
    std::vector<double> cumulativeWeights_;
    SeededRandom random_;
    std::uint64_t unroutedPackets_ = 0;
};

}
