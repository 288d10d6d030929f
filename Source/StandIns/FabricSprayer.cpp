#include "StandIns/FabricSprayer.h"

#include <algorithm>

namespace wisteriadock {

FabricSprayer::FabricSprayer(std::uint64_t seed)
    : random_(seed)
{
}

void FabricSprayer::setTargets(const std::vector<FabricTarget>& wanted)
{
    for (FabricTarget& target : targets_)
        target.weight = 0;
    for (const FabricTarget& target : wanted) {
        const auto known = std::find_if(targets_.begin(), targets_.end(),
            [&](const FabricTarget& candidate) { return candidate.address == target.address; });
        if (known != targets_.end())
            known->weight = target.weight;
        else if (targets_.size() < maxTargetCount)
            targets_.push_back({ target.address, target.weight, 0 });
    }

    cumulativeWeights_.clear();
    double sum = 0;
    for (const FabricTarget& target : targets_) {
        sum += target.weight;
        cumulativeWeights_.push_back(sum);
    }
}

Endpoint FabricSprayer::next()
{
    if (cumulativeWeights_.empty() || cumulativeWeights_.back() <= 0) {
        ++unroutedPackets_;
        return {};
    }
    const double drawn = random_.nextUniform() * cumulativeWeights_.back();
    // The first cumulative weight above the drawn number, so that a target with weight 0 is never chosen.
    const auto chosen = std::upper_bound(cumulativeWeights_.begin(), cumulativeWeights_.end(), drawn);
    FabricTarget& target = targets_[static_cast<std::size_t>(chosen - cumulativeWeights_.begin())];
    ++target.packets;
    return target.address;
}

}
