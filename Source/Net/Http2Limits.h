#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace wisteriadock {

// Bounds on what the other side can make this process hold. A message over a limit is refused and counted.
struct Http2Limits {
    std::size_t headerBytes = std::size_t(16) * 1024;
    std::size_t bodyBytes = std::size_t(16) * 1024 * 1024;
    std::uint32_t concurrentStreams = 1000;
    std::size_t connections = 4096;
    std::chrono::milliseconds connectTimeout { 1000 };
};

}
