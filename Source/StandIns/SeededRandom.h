#pragma once

#include <cstdint>

namespace wisteriadock {

// A seeded random number generator (SplitMix64) with the same sequence under every standard library.
class SeededRandom {
public:
    explicit SeededRandom(std::uint64_t seed)
        : state_(seed)
    {
    }

    std::uint64_t next()
    {
        state_ += 0x9E3779B97F4A7C15ULL;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
        mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
        return mixed ^ (mixed >> 31);
    }

    // Uniformly distributed in [0, 1).
    double nextUniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

    // Uniformly distributed in [low, high).
    double nextBetween(double low, double high) { return low + (high - low) * nextUniform(); }

private:
    std::uint64_t state_;
};

}
