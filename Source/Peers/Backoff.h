#pragma once

#include "Core/Clock.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace wisteriadock {

// Exponential backoff between retries: the pause doubles up to a limit. Each one is drawn at random between half and
// all of its length, so that balancers that failed together do not retry together.
class Backoff {
public:
    Backoff(std::chrono::milliseconds shortest, std::chrono::milliseconds longest, std::uint64_t seed);

    // The pause before the next try. Call it after each failure.
    std::chrono::milliseconds next();
    // Call it after a success.
    void reset() { pause_ = shortest_; }

private:
    std::chrono::milliseconds shortest_;
    std::chrono::milliseconds longest_;
    std::chrono::milliseconds pause_;
    std::mt19937_64 random_;
};

}
