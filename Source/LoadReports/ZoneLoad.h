#pragma once

#include "Core/Clock.h"
#include "Core/Identifiers.h"
#include "Forward/RequestLoadMeter.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriadock {

// The load by the callers of one zone, summed by the aggregator of that zone.
struct ZoneLoad {
    std::string zone;
    BalancerId aggregator;
    // Identifies the start of the aggregator's process, and counts its digests.
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    // How many balancers of the zone the sum covers, and how many are alive. The rows are scaled to the latter.
    std::uint32_t covered = 0;
    std::uint32_t alive = 0;
    // When the sum was made, by this balancer's clock.
    TimePoint madeAt;
    std::vector<ObservedLoad> rows;
};

}
