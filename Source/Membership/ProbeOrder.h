#pragma once

#include "Core/Identifiers.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace wisteriadock {

// The order in which Membership probes a group of members: random, but each member comes once per round, which bounds
// the time between two probes of one member. The caller's filter skips members that are no longer alive.
class ProbeOrder {
public:
    using Filter = std::function<bool(BalancerId)>;

    // Inserts a new member at a random position in the rest of the current round. Ignores known members.
    void insert(BalancerId, std::mt19937_64&);
    // The next member that passes the filter. Removes members that do not.
    std::optional<BalancerId> next(const Filter&, std::mt19937_64&);
    // Removes the members that do not pass the filter and returns the others.
    std::vector<BalancerId> prune(const Filter&);
    // A random sample of distinct members that pass the filter. May return fewer than `count`, since the number of
    // random draws is bounded.
    std::vector<BalancerId> sample(std::size_t count, const Filter&, std::mt19937_64&) const;

private:
    std::vector<BalancerId> ids_;
    std::size_t position_ = 0;
};

}
