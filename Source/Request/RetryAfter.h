#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace wisteriadock {

// Draws when a refused caller should come back: whole seconds, evenly spread from the base to three times the base, so
// that those who were refused together don't return together.
inline std::chrono::seconds drawRetryAfter(std::chrono::milliseconds base, std::mt19937_64& random)
{
    constexpr std::int64_t shortest = 1000;
    constexpr std::int64_t longest = 30'000;
    const std::int64_t start = std::clamp<std::int64_t>(base.count(), shortest, longest);
    const std::int64_t drawn = start + static_cast<std::int64_t>(random() % (2 * start + 1));
    return std::chrono::seconds((drawn + 999) / 1000);
}

}
