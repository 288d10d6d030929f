#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <optional>

namespace wisteriadock {

// Converts times to nonces and back. A nonce is the send time in milliseconds with the incarnation as its origin, so
// the age of an echoed nonce is known without a table of sent nonces, and nonces of an earlier incarnation are
// rejected.
class NonceClock {
public:
    NonceClock(std::uint64_t incarnation, TimePoint start);

    std::uint32_t nonceAt(TimePoint now) const;
    // When this balancer sent the nonce; nothing if it cannot have sent it.
    std::optional<TimePoint> sentAt(std::uint32_t nonce, TimePoint now) const;

private:
    std::uint32_t base_;
    TimePoint start_;
};

}
