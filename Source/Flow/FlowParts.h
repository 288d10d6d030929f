#pragma once

#include "Core/Clock.h"
#include "Flow/FlowMessage.h"
#include "Flow/FlowTable.h"

#include <memory>
#include <optional>
#include <vector>

namespace wisteriadock {

// A list of flows cut into parts that each fit one message. An empty list has one empty part, so that the receiver
// learns that it is complete.
using FlowParts = std::vector<std::vector<FlowGroup>>;

std::shared_ptr<const FlowParts> splitIntoParts(const std::vector<KnownFlow>&);
std::vector<KnownFlow> flowsOf(const std::vector<FlowGroup>&);

// Bounds the control bytes of a balancer while tables change: a token bucket that holds at most one second's worth.
class SendBudget {
public:
    SendBudget(std::uint32_t bytesPerSecond, TimePoint now);

    void refill(TimePoint now);
    // Takes the bytes if any budget is left; a message may overdraw it once.
    bool take(std::size_t bytes);

private:
    const double bytesPerSecond_;
    double available_;
    TimePoint refilledAt_;
};

// The size of a message of so many flows on the wire, in bytes, rounded up.
std::size_t estimatedBytes(const std::vector<FlowGroup>&);

// Sends a list part by part until each part is acknowledged.
class PartSender {
public:
    // The time gives the list its number.
    PartSender(std::shared_ptr<const FlowParts>, TimePoint now);

    // The next part that is due, or none: never sent, or unanswered for the retry interval.
    std::optional<std::uint32_t> nextDue(TimePoint now, Duration retryInterval) const;
    void markSent(std::uint32_t part, TimePoint now);
    // Acknowledgements of other lists are ignored.
    void acknowledge(std::uint64_t list, std::uint32_t part);
    // There is nobody to send to.
    void acknowledgeAll() { unacknowledged_ = 0; }

    bool isComplete() const { return unacknowledged_ == 0; }
    bool anyAcknowledged() const { return unacknowledged_ < parts_->size(); }
    // Writes the list's number, the part's place and its flows into a message.
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

// Keeps count of the parts that arrived; they may come twice and in any order.
class PartReceiver {
public:
    // Whether the part was new. A part that contradicts earlier ones, is out of range or of an older list is not; a
    // part of a newer list starts the count anew.
    bool accept(const FlowMessage&);
    bool isComplete() const { return !seen_.empty() && missing_ == 0; }

private:
    std::uint64_t listId_ = 0;
    std::vector<bool> seen_;
    std::size_t missing_ = 0;
};

}
