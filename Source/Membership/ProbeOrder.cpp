#include "Membership/ProbeOrder.h"

#include <algorithm>
#include <iterator>

namespace wisteriadock {

namespace {

    // The limit of random draws per requested member, so that sampling ends even if few members pass the filter.
    constexpr std::size_t drawsPerMember = 4;

}

void ProbeOrder::insert(BalancerId id, std::mt19937_64& random)
{
    if (std::find(ids_.begin(), ids_.end(), id) != ids_.end())
        return;
    ids_.push_back(id);
    const std::size_t index = position_ + random() % (ids_.size() - position_);
    std::swap(ids_[index], ids_.back());
}

std::optional<BalancerId> ProbeOrder::next(const Filter& passes, std::mt19937_64& random)
{
    while (!ids_.empty()) {
        if (position_ >= ids_.size()) {
            std::shuffle(ids_.begin(), ids_.end(), random);
            position_ = 0;
        }
        const BalancerId id = ids_[position_];
        if (passes(id)) {
            ++position_;
            return id;
        }
        ids_[position_] = ids_.back();
        ids_.pop_back();
    }
    return std::nullopt;
}

std::vector<BalancerId> ProbeOrder::prune(const Filter& passes)
{
    std::erase_if(ids_, [&](BalancerId id) { return !passes(id); });
    position_ = std::min(position_, ids_.size());
    return ids_;
}

std::vector<BalancerId> ProbeOrder::sample(std::size_t count, const Filter& passes, std::mt19937_64& random) const
{
    std::vector<BalancerId> chosen;
    if (ids_.size() <= count * drawsPerMember) {
        std::copy_if(ids_.begin(), ids_.end(), std::back_inserter(chosen), passes);
        std::shuffle(chosen.begin(), chosen.end(), random);
        chosen.resize(std::min(count, chosen.size()));
        return chosen;
    }
    for (std::size_t draw = 0; draw < count * drawsPerMember && chosen.size() < count; ++draw) {
        const BalancerId id = ids_[random() % ids_.size()];
        if (passes(id) && std::find(chosen.begin(), chosen.end(), id) == chosen.end())
            chosen.push_back(id);
    }
    return chosen;
}

}
