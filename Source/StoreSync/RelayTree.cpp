#include "StoreSync/RelayTree.h"

#include <algorithm>
#include <cstdint>
#include <span>

namespace wisteriadock {

namespace {

    using Members = std::span<const Member* const>;

    // Grows with the logarithm of the link, so that slow links are spared without loading the few fast ones with most
    // of the traffic.
    std::uint64_t weightOf(const Member& member)
    {
        return 1 + static_cast<std::uint64_t>(bandwidthClassOf(member.linkMegabits));
    }

    const Member* chooseRelay(Members members, std::mt19937_64& random)
    {
        std::uint64_t sum = 0;
        for (const Member* member : members)
            sum += weightOf(*member);
        std::uint64_t position = random() % sum;
        for (const Member* member : members) {
            if (position < weightOf(*member))
                return member;
            position -= weightOf(*member);
        }
        return members.back();
    }

    void addTargets(Members members, std::size_t rangeSize, std::mt19937_64& random, std::vector<RelayTarget>& targets)
    {
        while (!members.empty()) {
            const Members range = members.first(std::min(rangeSize, members.size()));
            members = members.subspan(range.size());
            RelayTarget target { chooseRelay(range, random), {} };
            if (range.size() > 1)
                target.range = { range.front()->id.value, range.back()->id.value };
            targets.push_back(target);
        }
    }

}

std::vector<RelayTarget> relayTargets(
    const std::vector<const Member*>& receivers, BalancerId self, std::size_t fanout, std::mt19937_64& random)
{
    std::vector<RelayTarget> targets;
    const std::size_t rangeSize = (receivers.size() + fanout - 1) / fanout;
    const auto firstAfterSelf = std::ranges::upper_bound(receivers, self, {}, &Member::id);
    const auto countBeforeSelf = static_cast<std::size_t>(firstAfterSelf - receivers.begin());
    const Members all(receivers);
    addTargets(all.first(countBeforeSelf), rangeSize, random, targets);
    addTargets(all.subspan(countBeforeSelf), rangeSize, random, targets);
    return targets;
}

}
