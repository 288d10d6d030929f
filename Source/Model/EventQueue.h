#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace wisteriadock {

// The clock and the pending actions of a discrete-event simulation. Actions run in the order of their times; actions of
// equal time run in the order in which they were added.
class EventQueue {
public:
    TimePoint now() const { return clock_.now(); }

    // Runs the action at the time, or next if the time has passed.
    void at(TimePoint time, std::function<void()> action)
    {
        events_.push({ std::max(time, now()), nextOrder_++, std::move(action) });
    }
    void after(Duration delay, std::function<void()> action) { at(now() + delay, std::move(action)); }

    // Runs all actions up to and including `end` and leaves the clock at `end`.
    void runUntil(TimePoint end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            // top() is const; moving from it is safe because pop() follows at once.
            Event event = std::move(const_cast<Event&>(events_.top()));
            events_.pop();
            clock_.advance(event.time - now());
            event.action();
        }
        clock_.advance(end - now());
    }

private:
    struct Event {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    ManualClock clock_;
    std::priority_queue<Event> events_;
    std::uint64_t nextOrder_ = 0;
};

}
