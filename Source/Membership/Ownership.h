#pragma once

#include "Membership/Member.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace wisteriadock {

// The balancers that a key belongs to by rendezvous hashing: the highest hash of key and balancer wins.
struct Owners {
    std::optional<BalancerId> first;
    // Takes over when the first goes; knowing it beforehand lets the first keep it informed.
    std::optional<BalancerId> second;

    bool operator==(const Owners&) const = default;
};

// Chooses among the Serving members of one availability zone, or of all when the zone is empty. Two balancers with the
// same Serving members choose alike; when a member goes, only its own keys get another owner. Linear in the members, so
// callers keep the answer for a view's revision.
Owners ownersOf(const MembersView&, std::uint64_t key, std::string_view availabilityZone = {});

// The first of ownersOf.
std::optional<BalancerId> ownerOf(const MembersView&, std::uint64_t key, std::string_view availabilityZone = {});

}
