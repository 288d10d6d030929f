#pragma once

#include <chrono>
#include <cstdint>

namespace wisteriadock {

// What this process has used since it started.
struct ResourceUsage {
    std::chrono::microseconds processorTime { 0 };
    // The most physical memory that it held at once, in KiB.
    std::uint64_t peakMemoryKilobytes = 0;
};

// As the operating system counts it; zeros if it does not say.
ResourceUsage resourceUsage();

}
