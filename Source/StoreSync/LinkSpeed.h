#pragma once

#include <cstdint>

namespace wisteriadock {

// A link of less than this rate (Mbit/s) is slow: the entries of thousands of servers take it a second and more, so a
// balancer behind it leaves the listing of the store to others and fetches its own zone first.
inline constexpr std::uint32_t minFastLinkMegabits = 100;

// The rate is 0 when it is unknown, which counts as fast.
constexpr bool isSlowLink(std::uint32_t megabits, std::uint32_t fastLinkMegabits = minFastLinkMegabits)
{
    return megabits > 0 && megabits < fastLinkMegabits;
}

}
