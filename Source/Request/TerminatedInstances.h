#pragma once

#include "Request/RequestTypes.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstdint>

namespace wisteriadock {

// Balancer instances that have certainly terminated. An unresponsive balancer may be paused or partitioned and resume
// later; only a newer start of the same balancer, or the removal of its VM, proves termination.
class TerminatedInstances {
public:
    // The balancer runs with this incarnation, so all earlier ones have terminated.
    void learnStart(const BalancerInstance& holder)
    {
        if (holder.incarnation > 0)
            raise(holder.id, holder.incarnation - 1);
    }

    void learnTerminated(const BalancerInstance& holder) { raise(holder.id, holder.incarnation); }

    bool contains(const BalancerInstance& holder) const
    {
        const auto found = terminatedUpTo_.find(holder.id);
        return found != terminatedUpTo_.end() && holder.incarnation <= found->second;
    }

private:
    void raise(BalancerId id, std::uint64_t incarnation)
    {
        std::uint64_t& terminatedUpTo = terminatedUpTo_[id];
        terminatedUpTo = std::max(terminatedUpTo, incarnation);
    }

    absl::flat_hash_map<BalancerId, std::uint64_t> terminatedUpTo_;
};

}
