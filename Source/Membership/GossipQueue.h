#pragma once

#include "Core/Identifiers.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace wisteriadock {

// The news that a balancer still has to pass on: each piece goes into a bounded number of messages, newest first, then
// in turn. The queue holds an id once, so its size never exceeds the number of members.
class GossipQueue {
public:
    // Restarts the count of an id that is already queued.
    void push(BalancerId, std::size_t sends);
    void erase(BalancerId);
    // The next piece to send; nothing when the queue is empty. Counts as one send.
    std::optional<BalancerId> pop();
    bool contains(BalancerId id) const { return sendsLeft_.contains(id); }
    std::size_t size() const { return sendsLeft_.size(); }

private:
    std::deque<BalancerId> order_;
    std::unordered_map<BalancerId, std::size_t> sendsLeft_;
};

}
