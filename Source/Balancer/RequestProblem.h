#pragma once

#include "Net/HttpMessage.h"
#include "Request/RequestTypes.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadock {

// How a request ended, as counted in the metrics.
enum class RequestOutcomeKind {
    Answered, // The backend server's response was returned.
    Invalid, // The request is invalid.
    UnknownService,
    NoServer, // No backend server had a free slot.
    NotExecuted, // The backend server was not reached, or refused.
    Unknown, // Sent, but not answered.
    Cancelled, // The caller cancelled it.
};

inline constexpr std::size_t requestOutcomeKindCount = 7;

std::string_view nameOf(RequestOutcomeKind);

// The error that a caller gets instead of a backend server's response.
struct RequestProblem {
    int status = 503;
    std::string title;
    Executed executed = Executed::No;
    std::optional<std::chrono::seconds> retryAfter = std::nullopt;
    RequestOutcomeKind outcome = RequestOutcomeKind::Invalid;

    // The response, with a body of type application/problem+json (RFC 9457).
    HttpResponse toResponse() const;
};

}
