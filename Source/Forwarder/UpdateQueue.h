#pragma once

#include "StoreSync/ReplicaSync.h"

#include <cstddef>
#include <deque>

namespace wisteriadock {

// Changes of the replica that wait to be applied. Thousands of updates at once would keep packets waiting for tenths of
// a second on a slow processor, so Forwarder applies them in slices and handles packets in between.
class UpdateQueue {
public:
    // Most updates in a slice.
    static constexpr std::size_t sliceSize = 500;

    void push(ReplicaChanged);
    bool isEmpty() const { return waiting_.empty(); }
    // The next slice, in the order in which the updates were pushed. The queue must not be empty.
    ReplicaChanged pop();

private:
    std::deque<ReplicaChanged> waiting_;
    // Updates of the first change that were returned before.
    std::size_t popped_ = 0;
};

}
