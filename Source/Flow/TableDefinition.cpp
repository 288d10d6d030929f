#include "Flow/TableDefinition.h"

#include <algorithm>

namespace wisteriadock {

std::shared_ptr<const BucketTable> TableDefinition::build(const WeightFactors& factors) const
{
    std::vector<ServerShare> scaled = shares;
    for (ServerShare& share : scaled) {
        const auto factor = factors.find(share.server);
        if (factor == factors.end())
            continue;
        const std::uint64_t weight = std::uint64_t(share.weight) * factor->second / fullFactor;
        // A factor above zero never reduces the weight to zero.
        share.weight = factor->second == 0 ? 0 : std::max<std::uint32_t>(1, static_cast<std::uint32_t>(weight));
    }
    return BucketTable::build(policy, evenness, service, scaled);
}

}
