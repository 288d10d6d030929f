#pragma once

#include "Core/Clock.h"
#include "Request/RequestKey.h"
#include "Request/RequestTypes.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// Bounds on what a caller may ask for.
struct RequestLimits {
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 16UL * 1024 * 1024;
    std::chrono::milliseconds defaultDeadline { 10'000 };
    std::chrono::milliseconds maxDeadline { 60'000 };
};

// What the check looks at. The views live as long as the request that they come from.
struct RequestFields {
    std::string_view method;
    // Value of Idempotency-Key, empty when absent.
    std::string_view key;
    // Milliseconds that the caller waits, as text; empty when absent.
    std::string_view deadline;
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
};

// What is known of a request before anybody decides on it.
struct CheckedRequest {
    // May be sent again without harm; needs no claim.
    bool isIdempotent = false;
    // Set for non-idempotent work with a readable key.
    std::optional<RequestKey> key;
    Duration timeLeft {};
    // Set when the request must be refused. If key is set as well, only the key's owner knows whether an earlier try
    // with the key ran: route the request to it with this reason, and it will answer truthfully.
    std::optional<RefusalReason> problem;
    std::string detail;
};

// Whether the method may be repeated (RFC 9110, 9.2.2).
bool isIdempotentMethod(std::string_view method);

CheckedRequest checkRequest(const RequestFields&, const std::vector<std::string>& zones, const RequestLimits&);

}
