#pragma once

#include "Core/Identifiers.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace wisteriadock {

// Gives the members of a group in a random order, each once before any comes twice, which bounds the time until a
// member is probed again. Members that went are skipped by the caller's filter.
class ProbeOrder {
public:
    using Filter = std::function<bool(BalancerId)>;

    // Puts a new member at a random place among those still to come.
    void insert(BalancerId, std::mt19937_64&);
    // The next member that passes the filter. Drops those that do not.
    std::optional<BalancerId> next(const Filter&, std::mt19937_64&);
    // All members that pass the filter. Drops the others.
    std::vector<BalancerId> prune(const Filter&);
    // Some members that pass the filter, at random and none twice; fewer when luck or the group gives no more.
    std::vector<BalancerId> sample(std::size_t count, const Filter&, std::mt19937_64&) const;

private:
    std::vector<BalancerId> ids_;
    std::size_t position_ = 0;
};

}
