#pragma once

#include "Core/Identifiers.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace wisteriadock {

// The ids of members whose changes a balancer still has to send as gossip. Each id is sent a bounded number of times:
// new ids first, then round-robin. An id is queued at most once, so the size never exceeds the number of members. Used
// by MemberTable.
class GossipQueue {
public:
    // Queues an id to be sent so many times. Resets the count if the id is already queued.
    void push(BalancerId, std::size_t sends);
    void erase(BalancerId);
    // The next id to send, which counts as one send; nothing if the queue is empty.
    std::optional<BalancerId> pop();
    bool contains(BalancerId id) const { return sendsLeft_.contains(id); }
    std::size_t size() const { return sendsLeft_.size(); }

private:
    std::deque<BalancerId> order_;
    std::unordered_map<BalancerId, std::size_t> sendsLeft_;
};

}
