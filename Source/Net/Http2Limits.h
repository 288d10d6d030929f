#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace wisteriadock {

// Limits on the memory and connections that a peer can take up in this process. Sizes are per message. Messages and
// connections over a limit are rejected.
struct Http2Limits {
    std::size_t headerBytes = std::size_t(16) * 1024;
    std::size_t bodyBytes = std::size_t(16) * 1024 * 1024;
    std::uint32_t concurrentStreams = 1000;
    std::size_t connections = 4096; // Of one server.
    std::chrono::milliseconds connectTimeout { 1000 }; // Of a client.
};

}
