#pragma once

#include <chrono>
#include <cstdint>

namespace wisteriadock {

// What this process uses.
struct ResourceUsage {
    // Since the process started; zero if the operating system does not say.
    std::chrono::microseconds processorTime { 0 };
    // What it has allocated at the moment, in KiB.
    std::uint64_t heapKilobytes = 0;
};

ResourceUsage resourceUsage();

}
