#pragma once

#include "Core/Clock.h"
#include "Request/RequestTypes.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace wisteriadock {

// Work of one service that waits for a slot, first come first served, and how long its work usually takes.
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
    // Takes the first.
    std::optional<Entry> takeNext();

    // Removes what can no longer be done in time.
    std::vector<WorkId> removeInfeasible(TimePoint now);

    void recordDuration(Duration);
    // What one piece of work takes: on average, and when it takes long.
    Duration meanDuration() const { return mean_; }
    Duration longDuration() const { return mean_ + 2 * deviation_; }

    // How long one more entry would wait with so many slots.
    Duration expectedWait(std::uint32_t slots) const;
    bool canMeet(TimePoint deadline, std::uint32_t slots, TimePoint now) const;

private:
    std::deque<Entry> entries_;
    int samples_ = 0;
    Duration mean_ = std::chrono::milliseconds(20);
    Duration deviation_ = std::chrono::milliseconds(5);
};

}
