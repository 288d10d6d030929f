#include "Forward/ServerSubset.h"

#include "Core/Hash.h"

#include <algorithm>

namespace wisteriadock {

void ServerSubset::setBalancers(std::uint32_t self, const std::vector<std::uint32_t>& ids)
{
    balancers_ = std::max<std::size_t>(1, ids.size());
    position_ = static_cast<std::size_t>(std::ranges::count_if(ids, [&](std::uint32_t id) { return id < self; }));
}

bool ServerSubset::contains(const RegisteredServer& server) const
{
    if (balancers_ < minBalancers)
        return false;
    // The upper half of a hash, scaled to the number of balancers.
    constexpr int halfBits = 32;
    const std::uint64_t hash = hashPair(server.number, server.startedAt) >> halfBits;
    return (hash * balancers_) >> halfBits == position_;
}

}
