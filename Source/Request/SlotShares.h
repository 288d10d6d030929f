#pragma once

#include "Configuration/Configuration.h"
#include "Membership/Member.h"

#include <cstdint>

namespace wisteriadock {

// How many of a backend server's slots one balancer may use without asking anybody. Slots are dealt by rendezvous among
// the balancers that serve in the server's availability zone, or among all when none serves there; so balancers with
// the same view deal each slot exactly once, and a cut between zones changes no share. While views differ a slot may be
// dealt twice for a moment; the backend server then sheds, which is provably not run.
std::uint32_t slotShareOf(const BackendServer&, const MembersView&, BalancerId balancer);

}
