#pragma once

#include "Net/HttpMessage.h"
#include "Request/RequestTypes.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadock {

// How a request ended, as metrics count it.
enum class RequestOutcomeKind {
    Answered, // The backend server's own answer was handed over.
    Invalid, // The request itself is wrong.
    UnknownService,
    NoServer, // No backend server had a free slot.
    NotExecuted, // The backend server was not reached, or refused.
    Unknown, // Sent, but not answered.
    Cancelled, // The caller gave up.
};

inline constexpr std::size_t requestOutcomeKindCount = 7;

std::string_view nameOf(RequestOutcomeKind);

// What a caller is told in place of an answer.
struct RequestProblem {
    int status = 503;
    std::string title;
    Executed executed = Executed::No;
    std::optional<std::chrono::seconds> retryAfter = std::nullopt;
    RequestOutcomeKind outcome = RequestOutcomeKind::Invalid;

    // The answer with a body of type application/problem+json (RFC 9457).
    HttpResponse toResponse() const;
};

}
