#include "Peers/ConfigurationWatchers.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <string_view>
#include <tuple>

namespace wisteriadock {

namespace {

    // Sets this choice apart from other rendezvous choices among the same members.
    constexpr std::uint64_t choiceSeed = 0x636f6e66;

    bool mayWatch(const Member& member)
    {
        return member.state == MemberState::Serving || member.state == MemberState::Detached;
    }

    // Wide links first: the store's answer holds the whole configuration at each change of it, which takes 2 s on a
    // link of 10 Mbit/s for 10,000 routes, and the zone's readiness checks and heartbeats wait behind it.
    std::tuple<int, std::uint64_t, BalancerId> rankOf(const Member& member)
    {
        return { -bandwidthClassOf(member.linkMegabits), hashPair(choiceSeed, member.id.value), member.id };
    }

    std::size_t watchersInZone(std::size_t availabilityZones, const WatcherCounts& counts)
    {
        const std::size_t share
            = (counts.minTotal + availabilityZones - 1) / std::max<std::size_t>(availabilityZones, 1);
        return std::max(counts.perAvailabilityZone, share);
    }

}

bool isConfigurationWatcher(const MembersView& view, const WatcherCounts& counts)
{
    const Member* self = view.findSelf();
    if (!self)
        return true;

    std::size_t known = 0;
    std::size_t servingAhead = 0;
    std::size_t detachedAhead = 0;
    std::set<std::string_view> availabilityZones;
    for (const Member& member : view.members) {
        known += mayWatch(member) || member.state == MemberState::Joining;
        if (!mayWatch(member))
            continue;
        availabilityZones.insert(member.availabilityZone);
        if (member.availabilityZone != self->availabilityZone || rankOf(member) >= rankOf(*self))
            continue;
        ++(member.state == MemberState::Serving ? servingAhead : detachedAhead);
    }
    if (known < minMembersToElectWatchers)
        return true;
    return mayWatch(*self) && servingAhead < watchersInZone(availabilityZones.size(), counts)
        && detachedAhead < counts.maxDetachedPerAvailabilityZone;
}

}
