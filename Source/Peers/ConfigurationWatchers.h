#pragma once

#include "Membership/Member.h"

#include <cstddef>

namespace wisteriadock {

// How many balancers watch the platform for the others. The platform counts a waiting watch as a call and grows more
// slowly than the fleet, so the others learn from these.
struct WatcherCounts {
    // In each availability zone. Two, so that the loss of one delays nobody.
    std::size_t perAvailabilityZone = 2;
    // In all availability zones together at least: with few zones each has more. 0 for no such bound.
    std::size_t minTotal = 0;
    // So many of a zone that the platform does not answer are replaced by others; when it answers none of these, it
    // is taken to be down for all, and more calls would only cost.
    std::size_t maxReplacedPerAvailabilityZone = 3;
};

// Below this many known balancers all of them watch: there is little to spare, and a balancer that knows hardly anybody
// may be cut off from the watchers.
inline constexpr std::size_t minMembersToElectWatchers = 3;

// Whether the balancer whose view this is shall watch the platform. All balancers with the same view agree: the
// watchers of a zone are those of its serving members that have the widest links, and of these the ones that come first
// by a hash of their id (rendezvous hashing). A detached watcher goes on trying, since its replacement steps back once
// the platform answers it again.
bool isConfigurationWatcher(const MembersView&, const WatcherCounts& = {});

}
