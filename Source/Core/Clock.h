#pragma once

#include <chrono>
#include <concepts>

namespace wisteriadock {

// The monotonic clock. Code that decides takes the current time as an argument instead of reading a clock.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

// A source of the current time: RuntimeClock in daemons, ManualClock in tests.
template <typename T>
concept ClockSource = requires(const T& clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

struct RuntimeClock {
    TimePoint now() const { return Clock::now(); }
};

// A clock for tests that changes only by advance().
class ManualClock {
public:
    TimePoint now() const { return now_; }
    void advance(Duration step) { now_ += step; }

private:
    // Starts far from zero, so that subtracting a duration never underflows.
    TimePoint now_ = TimePoint(std::chrono::hours(1));
};

static_assert(ClockSource<RuntimeClock> && ClockSource<ManualClock>);

}
