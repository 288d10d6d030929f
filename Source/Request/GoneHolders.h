#pragma once

#include "Request/RequestTypes.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstdint>

namespace wisteriadock {

// Holders that certainly run no more. Silence proves nothing: a balancer that is paused or cut off comes back. Proof is
// a newer start of the same balancer, or that its VM is gone for good.
class GoneHolders {
public:
    // The balancer runs with this incarnation, so all earlier ones are over.
    void learnStart(const Holder& holder)
    {
        if (holder.incarnation > 0)
            raise(holder.id, holder.incarnation - 1);
    }

    void learnGone(const Holder& holder) { raise(holder.id, holder.incarnation); }

    bool contains(const Holder& holder) const
    {
        const auto found = goneUpTo_.find(holder.id);
        return found != goneUpTo_.end() && holder.incarnation <= found->second;
    }

private:
    void raise(BalancerId id, std::uint64_t incarnation)
    {
        std::uint64_t& goneUpTo = goneUpTo_[id];
        goneUpTo = std::max(goneUpTo, incarnation);
    }

    absl::flat_hash_map<BalancerId, std::uint64_t> goneUpTo_;
};

}
