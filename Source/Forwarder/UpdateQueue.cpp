#include "Forwarder/UpdateQueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wisteriadock {

void UpdateQueue::push(ReplicaChanged changed) { waiting_.push_back(std::move(changed)); }

ReplicaChanged UpdateQueue::pop()
{
    ReplicaChanged& first = waiting_.front();
    const std::size_t end = std::min(popped_ + sliceSize, first.items.size());
    ReplicaChanged slice { {}, first.isInDoubt, first.source, first.lag, first.revision, first.entersEra };
    const auto begin = first.items.begin();
    std::move(begin + static_cast<std::ptrdiff_t>(popped_), begin + static_cast<std::ptrdiff_t>(end),
        std::back_inserter(slice.items));
    popped_ = end;
    if (popped_ == first.items.size()) {
        waiting_.pop_front();
        popped_ = 0;
    }
    return slice;
}

}
