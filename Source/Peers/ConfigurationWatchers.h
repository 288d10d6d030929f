#pragma once

#include "Membership/Member.h"

#include <cstddef>
#include <cstdint>
#include <tuple>

namespace wisteriadock {

// How many balancers watch the platform for the others. Each waiting watch is a call to the platform, whose capacity
// grows more slowly than the fleet, so the other balancers receive the changes from these few.
struct WatcherCounts {
    // Watchers in each availability zone. With more than one, the loss of one delays no change.
    std::size_t perAvailabilityZone = 2;
    // Minimum number of watchers in all availability zones together; 0: no minimum. With few zones, each has more.
    std::size_t minTotal = 0;
    // At most this many detached watchers of a zone keep trying, beside the replacements chosen for them. When the
    // platform answers none of these, it is assumed to be down for all, and no more are chosen.
    std::size_t maxDetachedPerAvailabilityZone = 3;
};

// With fewer known balancers all of them watch: a balancer that knows so few may be cut off from the watchers.
inline constexpr std::size_t minMembersToElectWatchers = 3;

// The order in which balancers of a zone take duties for the others: those of lower rank first. Fast links rank lowest,
// and equals are ordered by a hash of their ids.
std::tuple<int, std::uint64_t, BalancerId> dutyRankOf(const Member&);

// Whether the balancer that has this view shall watch the platform. All balancers with the same view agree: the
// watchers of a zone are its serving members with the fastest links, chosen among equals by rendezvous hashing of their
// ids. A detached watcher keeps trying, and its replacement stops watching once the platform answers it again.
bool isConfigurationWatcher(const MembersView&, const WatcherCounts& = {});

}
