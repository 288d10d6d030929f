#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace wisteriadock {

// Draws the Retry-After of a refused caller: whole seconds, uniform between the base and three times the base, so that
// callers refused together don't retry together. The base is limited to 1 to 30 s.
inline std::chrono::seconds drawRetryAfter(std::chrono::milliseconds base, std::mt19937_64& random)
{
    constexpr std::int64_t shortest = 1000;
    constexpr std::int64_t longest = 30'000;
    const std::int64_t start = std::clamp<std::int64_t>(base.count(), shortest, longest);
    const std::int64_t drawn = start + static_cast<std::int64_t>(random() % (2 * start + 1));
    return std::chrono::seconds((drawn + 999) / 1000);
}

}
