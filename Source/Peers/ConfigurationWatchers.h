#pragma once

#include "Membership/Member.h"

#include <cstddef>

namespace wisteriadock {

// How many balancers of each availability zone watch the platform for a new configuration. The platform counts a
// waiting watch as a call and grows more slowly than the fleet, so the others learn from these. Two, so that the loss
// of one delays nobody.
inline constexpr std::size_t watchersPerAvailabilityZone = 2;

// Below this many known balancers all of them watch: there is little to spare, and a balancer that knows hardly anybody
// may be cut off from the watchers.
inline constexpr std::size_t fewestMembersToShareWatching = 3;

// Whether the balancer whose view this is shall watch the platform. All balancers with the same view agree: the
// watchers of a zone are those of its serving members that come first by a hash of their id (rendezvous hashing).
bool shallWatchConfiguration(const MembersView&);

}
