#pragma once

#include "Core/Clock.h"
#include "Request/RequestTypes.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace wisteriadock {

// The FIFO queue of one service's work that waits for a slot, with an estimate of how long the work takes.
class ServiceQueue {
public:
    struct Entry {
        WorkId work = 0;
        TimePoint deadline;
    };

    bool isEmpty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    void add(WorkId, TimePoint deadline);
    bool remove(WorkId);
    // Removes and returns the first entry; empty when the queue is empty.
    std::optional<Entry> takeNext();

    // Removes entries that can no longer meet their deadline.
    std::vector<WorkId> removeInfeasible(TimePoint now);

    void recordDuration(Duration);
    // Duration of one piece of work: the mean, and the mean plus two mean deviations.
    Duration meanDuration() const { return mean_; }
    Duration longDuration() const { return mean_ + 2 * deviation_; }

    // Expected wait of one more entry when this many slots serve the queue.
    Duration expectedWait(std::uint32_t slots) const;
    bool canMeet(TimePoint deadline, std::uint32_t slots, TimePoint now) const;

private:
    std::deque<Entry> entries_;
    int samples_ = 0;
    Duration mean_ = std::chrono::milliseconds(20);
    Duration deviation_ = std::chrono::milliseconds(5);
};

}
