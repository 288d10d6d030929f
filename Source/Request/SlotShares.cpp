#include "Request/SlotShares.h"

#include "Core/Hash.h"

#include <algorithm>
#include <vector>

namespace wisteriadock {

namespace {

    constexpr std::uint64_t rendezvousSeed = 0x736c6f74;

    std::vector<BalancerId> sharingBalancers(const BackendServer& server, const MembersView& view)
    {
        std::vector<BalancerId> local;
        std::vector<BalancerId> all;
        for (const Member& member : view.members) {
            if (member.state != MemberState::Serving)
                continue;
            all.push_back(member.id);
            if (member.availabilityZone == server.availabilityZone)
                local.push_back(member.id);
        }
        return local.empty() ? all : local;
    }

}

std::uint32_t slotShareOf(const BackendServer& server, const MembersView& view, BalancerId balancer)
{
    const std::vector<BalancerId> balancers = sharingBalancers(server, view);
    if (std::find(balancers.begin(), balancers.end(), balancer) == balancers.end())
        return 0;
    const auto score = [&](BalancerId id) { return hashPair(hashPair(rendezvousSeed, server.id.value), id.value); };
    const std::uint64_t own = score(balancer);
    const auto rank = static_cast<std::uint32_t>(
        std::count_if(balancers.begin(), balancers.end(), [&](BalancerId id) { return score(id) > own; }));
    const auto count = static_cast<std::uint32_t>(balancers.size());
    const std::uint32_t each = server.slots / count;
    return each + (rank < server.slots % count ? 1 : 0);
}

}
