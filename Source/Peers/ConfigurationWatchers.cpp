#include "Peers/ConfigurationWatchers.h"

#include "Core/Hash.h"

#include <cstdint>
#include <utility>

namespace wisteriadock {

namespace {

    // Sets this choice apart from other rendezvous choices among the same members.
    constexpr std::uint64_t choiceSeed = 0x636f6e66;

    bool isAlive(const Member& member)
    {
        return member.state == MemberState::Joining || member.state == MemberState::Serving;
    }

    std::pair<std::uint64_t, BalancerId> rankOf(const Member& member)
    {
        return { hashPair(choiceSeed, member.id.value), member.id };
    }

}

bool shallWatchConfiguration(const MembersView& view)
{
    const Member* self = view.findSelf();
    if (!self)
        return true;

    std::size_t known = 0;
    std::size_t ahead = 0;
    for (const Member& member : view.members) {
        known += isAlive(member);
        const bool isRival = member.state == MemberState::Serving && member.availabilityZone == self->availabilityZone;
        ahead += isRival && rankOf(member) < rankOf(*self);
    }
    if (known < fewestMembersToShareWatching)
        return true;
    return self->state == MemberState::Serving && ahead < watchersPerAvailabilityZone;
}

}
