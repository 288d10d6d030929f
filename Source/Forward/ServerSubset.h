#pragma once

#include "Forward/RegisteredServer.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wisteriadock {

// Divides the servers of an availability zone among its balancers. Where each balancer sees few flows before many
// servers, it knows next to nothing of their load, and choices at random give some servers several times the mean.
// Balancers that prefer servers of their own don't choose the same ones, and know the load of theirs. OpeningPolicy
// uses it to choose among servers that are equally good, so views of the zone may differ.
//
// In a zone of few balancers each sees much of the load, and no subset is preferred: then balancers with the same
// knowledge choose the same server for a flow, also when a copy of its opening packet reaches another one.
class ServerSubset {
public:
    // Fewer balancers of a zone prefer no subset.
    static constexpr std::size_t minBalancers = 8;

    // Sets the live balancers of the zone, including this one, in any order.
    void setBalancers(std::uint32_t self, const std::vector<std::uint32_t>& ids);
    // Returns whether this balancer prefers the server.
    bool contains(const RegisteredServer&) const;

private:
    std::size_t balancers_ = 1;
    // The rank of this balancer's id among all.
    std::size_t position_ = 0;
};

}
