#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <optional>

namespace wisteriadock {

// Turns the time into nonces and back: a nonce is the millisecond at which it was sent, counted from the incarnation.
// So an echo tells without any table how old the contact is that it proves, and echoes of nonces that an earlier
// incarnation of this balancer sent are recognized.
class NonceClock {
public:
    NonceClock(std::uint64_t incarnation, TimePoint start);

    std::uint32_t nonceAt(TimePoint now) const;
    // When this balancer sent the nonce; nothing when it cannot have sent it.
    std::optional<TimePoint> sentAt(std::uint32_t nonce, TimePoint now) const;

private:
    std::uint32_t base_;
    TimePoint start_;
};

}
