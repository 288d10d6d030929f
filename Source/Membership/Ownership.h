#pragma once

#include "Membership/Member.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace wisteriadock {

// The owners of a key by rendezvous hashing: the balancers with the highest hashes of key and balancer id.
struct Owners {
    std::optional<BalancerId> first;
    // The backup, which becomes the owner when the first stops serving. The first owner can replicate state to it.
    std::optional<BalancerId> second;

    bool operator==(const Owners&) const = default;
};

// Chooses among the Serving members of one availability zone, or of all zones if `availabilityZone` is empty. Balancers
// with the same Serving members get the same owners; when a member is removed, only its own keys change owner. Takes
// time linear in the number of members, so callers cache the result per view revision.
Owners ownersOf(const MembersView&, std::uint64_t key, std::string_view availabilityZone = {});

// The first owner; see ownersOf().
std::optional<BalancerId> ownerOf(const MembersView&, std::uint64_t key, std::string_view availabilityZone = {});

}
