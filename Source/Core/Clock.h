#pragma once

#include <chrono>
#include <concepts>

namespace wisteriadock {

// All decisions take the time of the runtime's monotonic clock as an argument; they never read a clock.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

// Anything that tells the time: the runtime's clock in daemons, a ManualClock in tests.
template <typename T>
concept ClockSource = requires(const T& clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

// The runtime's monotonic clock.
struct RuntimeClock {
    TimePoint now() const { return Clock::now(); }
};

// A clock that stands still until a test advances it.
class ManualClock {
public:
    TimePoint now() const { return now_; }
    void advance(Duration step) { now_ += step; }

private:
    // Far from zero, so that subtracting a lease never underflows.
    TimePoint now_ = TimePoint(std::chrono::hours(1));
};

static_assert(ClockSource<RuntimeClock> && ClockSource<ManualClock>);

}
