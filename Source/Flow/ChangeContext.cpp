#include "Flow/ChangeContext.h"

#include "Core/Hash.h"

namespace wisteriadock {

namespace {

    // The serving member with the highest rendezvous hash for the service, among those that meet the condition.
    template <typename Condition>
    std::optional<BalancerId> highestRanked(const MembersView& view, ServiceId service, Condition condition)
    {
        std::optional<BalancerId> best;
        std::uint64_t bestScore = 0;
        for (const Member& member : view.members) {
            if (member.state != MemberState::Serving || !condition(member))
                continue;
            const std::uint64_t score = hashPair(service.value, member.id.value);
            if (!best || score > bestScore) {
                best = member.id;
                bestScore = score;
            }
        }
        return best;
    }

}

bool ChangeContext::isAlive(BalancerId id) const
{
    const Member* member = view.find(id);
    return member && member->state != MemberState::Dead;
}

std::optional<BalancerId> ChangeContext::arbiterOf(ServiceId service) const
{
    return highestRanked(view, service, [](const Member&) { return true; });
}

std::optional<BalancerId> ChangeContext::otherArbiterOf(ServiceId service) const
{
    return highestRanked(view, service, [this](const Member& member) { return member.id != view.self; });
}

}
