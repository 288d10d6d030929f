#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace wisteriadock {

// The HTTP headers that the caller and backend stand-ins exchange. Balancers forward them unchanged.
namespace stand_in_headers {
    inline constexpr std::string_view idempotencyKey = "idempotency-key";
    inline constexpr std::string_view workMilliseconds = "x-work-milliseconds";
    inline constexpr std::string_view deadlineMilliseconds = "x-deadline-milliseconds";
    inline constexpr std::string_view answerBytes = "x-answer-bytes";
    // In answers: the server's name, its service's name, and whether it executed the request (yes, no or unknown).
    inline constexpr std::string_view backendServer = "x-backend-server";
    inline constexpr std::string_view service = "x-service";
    inline constexpr std::string_view executed = "x-executed";
}

// The body of `size` bytes with which a backend server answers an idempotency key. It is different for each key and
// server, so that the caller detects truncated, mixed and misdelivered answers.
std::string answerBodyOf(std::string_view key, std::string_view backendServer, std::size_t size);

}
