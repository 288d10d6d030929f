#include "Flow/ChangeContext.h"

#include "Core/Hash.h"

namespace wisteriadock {

bool ChangeContext::isAlive(BalancerId id) const
{
    const Member* member = view.find(id);
    return member && member->state != MemberState::Dead;
}

std::optional<BalancerId> ChangeContext::arbiterOf(ServiceId service) const
{
    std::optional<BalancerId> best;
    std::uint64_t bestScore = 0;
    for (const Member& member : view.members) {
        if (member.state != MemberState::Serving)
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
