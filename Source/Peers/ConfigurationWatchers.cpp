#include "Peers/ConfigurationWatchers.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <string_view>
#include <tuple>

namespace wisteriadock {

namespace {

    // Makes this choice independent of other rendezvous choices among the same members.
    constexpr std::uint64_t choiceSeed = 0x636f6e66;

    bool mayWatch(const Member& member)
    {
        return member.state == MemberState::Serving || member.state == MemberState::Detached;
    }

    std::size_t watchersPerZone(std::size_t availabilityZones, const WatcherCounts& counts)
    {
        const std::size_t share
            = (counts.minTotal + availabilityZones - 1) / std::max<std::size_t>(availabilityZones, 1);
        return std::max(counts.perAvailabilityZone, share);
    }

}

// Fast links rank lowest: every change of the configuration transfers all of it, which blocks readiness checks and
// heartbeats on a slow link: for 2 s with 10,000 routes at 10 Mbit/s.
std::tuple<int, std::uint64_t, BalancerId> dutyRankOf(const Member& member)
{
    return { -bandwidthClassOf(member.linkMegabits), hashPair(choiceSeed, member.id.value), member.id };
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
        if (member.availabilityZone != self->availabilityZone || dutyRankOf(member) >= dutyRankOf(*self))
            continue;
        ++(member.state == MemberState::Serving ? servingAhead : detachedAhead);
    }
    if (known < minMembersToElectWatchers)
        return true;
    return mayWatch(*self) && servingAhead < watchersPerZone(availabilityZones.size(), counts)
        && detachedAhead < counts.maxDetachedPerAvailabilityZone;
}

}
