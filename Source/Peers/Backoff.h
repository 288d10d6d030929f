#pragma once

#include "Core/Clock.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace wisteriadock {

// The pauses between tries of something that fails: they double up to a limit, and each is spread over half to all of
// its length, so that balancers which failed together do not come back together.
class Backoff {
public:
    Backoff(std::chrono::milliseconds shortest, std::chrono::milliseconds longest, std::uint64_t seed);

    // The pause after one more failure.
    std::chrono::milliseconds next();
    // A try went well.
    void reset() { pause_ = shortest_; }

private:
    std::chrono::milliseconds shortest_;
    std::chrono::milliseconds longest_;
    std::chrono::milliseconds pause_;
    std::mt19937_64 random_;
};

}
