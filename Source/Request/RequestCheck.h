#pragma once

#include "Core/Clock.h"
#include "Request/RequestKey.h"
#include "Request/RequestTypes.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// Limits on requests.
struct RequestLimits {
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 16UL * 1024 * 1024;
    std::chrono::milliseconds defaultDeadline { 10'000 };
    std::chrono::milliseconds maxDeadline { 60'000 };
};

// The checked fields of a request. The views live as long as the request.
struct RequestFields {
    std::string_view method;
    // Value of Idempotency-Key; empty when absent.
    std::string_view key;
    // The caller's timeout in milliseconds, as text; empty when absent.
    std::string_view deadline;
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
};

// Result of checkRequest().
struct CheckedRequest {
    // May be sent repeatedly without harm; needs no claim.
    bool isIdempotent = false;
    // Set for a non-idempotent request with a valid key.
    std::optional<RequestKey> key;
    Duration timeLeft {};
    // Set when the request must be refused. If key is set as well, only the key's owner knows whether an earlier
    // attempt with the key ran: route the request to the owner together with this reason.
    std::optional<RefusalReason> problem;
    std::string detail;
};

// Whether the method is idempotent (RFC 9110, 9.2.2).
bool isIdempotentMethod(std::string_view method);

CheckedRequest checkRequest(const RequestFields&, const std::vector<std::string>& zones, const RequestLimits&);

}
