#include "Peers/Backoff.h"

#include <algorithm>

namespace wisteriadock {

Backoff::Backoff(std::chrono::milliseconds shortest, std::chrono::milliseconds longest, std::uint64_t seed)
    : shortest_(shortest)
    , longest_(longest)
    , pause_(shortest)
    , random_(seed)
{
}

std::chrono::milliseconds Backoff::next()
{
    const auto half = static_cast<std::uint64_t>(pause_.count()) / 2;
    const std::chrono::milliseconds delay(half + random_() % (half + 1));
    pause_ = std::min(pause_ * 2, longest_);
    return delay;
}

}
