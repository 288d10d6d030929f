#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace wisteriadock {

// The headers that callers and backend servers of the stand-ins understand. Balancers pass them on.
namespace stand_in_headers {
    inline constexpr std::string_view idempotencyKey = "idempotency-key";
    inline constexpr std::string_view workMilliseconds = "x-work-milliseconds";
    inline constexpr std::string_view deadlineMilliseconds = "x-deadline-milliseconds";
    inline constexpr std::string_view answerBytes = "x-answer-bytes";
    // In answers: the server that ran the request, its service, and whether it ran.
    inline constexpr std::string_view backendServer = "x-backend-server";
    inline constexpr std::string_view service = "x-service";
    inline constexpr std::string_view executed = "x-executed";
}

// The body that a backend server answers a key with. It differs from that of any other key or server, so that a caller
// can tell a whole answer of its own from a cut, mixed or foreign one.
std::string answerBodyOf(std::string_view key, std::string_view backendServer, std::size_t size);

}
