#pragma once

#include "Configuration/Configuration.h"
#include "Membership/Member.h"

#include <cstdint>

namespace wisteriadock {

// Number of a backend server's slots that one balancer may use without borrowing. Slots are divided by rendezvous
// hashing among the balancers that serve in the server's availability zone, or among all when none serves there.
// Balancers with the same view therefore assign each slot exactly once, and a partition between zones changes no share.
// While views differ, a slot may be assigned twice; the backend server then refuses the excess work, which has
// certainly not run.
std::uint32_t slotShareOf(const BackendServer&, const MembersView&, BalancerId balancer);

}
