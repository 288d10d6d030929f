#include "Membership/NonceClock.h"

namespace wisteriadock {

NonceClock::NonceClock(std::uint64_t incarnation, TimePoint start)
    : base_(static_cast<std::uint32_t>(incarnation))
    , start_(start)
{
}

std::uint32_t NonceClock::nonceAt(TimePoint now) const
{
    // Wraps around every 49 days; only differences are used.
    return base_
        + static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - start_).count());
}

std::optional<TimePoint> NonceClock::sentAt(std::uint32_t nonce, TimePoint now) const
{
    const std::chrono::milliseconds age(static_cast<std::uint32_t>(nonceAt(now) - nonce));
    if (age > now - start_)
        return std::nullopt;
    return now - age;
}

}
