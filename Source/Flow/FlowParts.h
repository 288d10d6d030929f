#pragma once

#include "Core/Clock.h"
#include "Flow/FlowMessage.h"
#include "Flow/FlowTable.h"

#include <memory>
#include <optional>
#include <vector>

namespace wisteriadock {

// A list of flows, split into parts that each fit into one message. An empty list has one empty part, so that the
// receiver can tell that it is complete.
using FlowParts = std::vector<std::vector<FlowGroup>>;

std::shared_ptr<const FlowParts> splitIntoParts(const std::vector<KnownFlow>&);
std::vector<KnownFlow> flowsOf(const std::vector<FlowGroup>&);

// A token bucket, in bytes, that limits the flow lists that a balancer sends during table changes. It holds at most one
// second's worth. FlowEngine refills it once per tick.
class SendBudget {
public:
    SendBudget(std::uint32_t bytesPerSecond, TimePoint now);

    void refill(TimePoint now);
    // Takes the bytes and returns true if the budget is above zero; the budget may become negative.
    bool take(std::size_t bytes);

private:
    const double bytesPerSecond_;
    double available_;
    TimePoint refilledAt_;
};

// An upper estimate of the size on the wire of a message with these flows, in bytes.
std::size_t estimatedBytes(const std::vector<FlowGroup>&);

// Tracks which parts of one list are due and which are acknowledged by its one receiver. The caller sends the parts.
class PartSender {
public:
    // The id of the list is made from the time.
    PartSender(std::shared_ptr<const FlowParts>, TimePoint now);

    // The first part that was never sent, or was sent at least the retry interval ago and is not acknowledged.
    std::optional<std::uint32_t> nextDue(TimePoint now, Duration retryInterval) const;
    void markSent(std::uint32_t part, TimePoint now);
    // Ignores acknowledgements of other lists.
    void acknowledge(std::uint64_t listId, std::uint32_t part);
    // Marks the list as complete when there is no receiver.
    void acknowledgeAll() { unacknowledged_ = 0; }

    bool isComplete() const { return unacknowledged_ == 0; }
    bool anyAcknowledged() const { return unacknowledged_ < parts_->size(); }
    // Writes the list id, the index of the part, the number of parts and the flows into a message.
    void fill(FlowMessage&, std::uint32_t part) const;

private:
    struct Progress {
        std::optional<TimePoint> sentAt;
        bool acknowledged = false;
    };

    std::shared_ptr<const FlowParts> parts_;
    std::uint64_t listId_;
    std::vector<Progress> progress_;
    std::size_t unacknowledged_;
};

// Tracks which parts of a list have arrived. Parts may arrive more than once and in any order.
class PartReceiver {
public:
    // Returns whether the part is new. Parts that are out of range, of an older list or with another number of parts
    // are rejected. The first part of a newer list discards the state of the older list.
    bool accept(const FlowMessage&);
    bool isComplete() const { return !seen_.empty() && missing_ == 0; }

private:
    std::uint64_t listId_ = 0;
    std::vector<bool> seen_;
    std::size_t missing_ = 0;
};

}
