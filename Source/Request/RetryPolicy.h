#pragma once

#include "Core/Clock.h"

#include <cstdint>

namespace wisteriadock {

// Defined in Net/Http2Client.h.
enum class HttpFailureKind;

// Which failures may be retried.
enum class RetryRule {
    Safe, // Never resends work that may have run, unless it is idempotent.
    Blind, // Resends any work, so that work may run twice. Baseline for experiments and tests only.
};

// Limits on retries.
struct RetryLimits {
    // Retries per request on average. The ratio keeps retries from multiplying the load when everything fails.
    double ratio = 0.1;
    // Retries that can accumulate in the budget while nothing fails.
    double burst = 20;
    std::uint32_t attemptsPerRequest = 3;
    RetryRule rule = RetryRule::Safe;
};

// Whether the server may have processed work that failed this way.
bool mayHaveRun(HttpFailureKind);

// Allows retries within a budget that grows with each request.
class RetryPolicy {
public:
    explicit RetryPolicy(const RetryLimits& limits);

    void countRequest();

    // Takes one retry from the budget if a retry is allowed. Cancelled work is never retried.
    bool takeRetry(HttpFailureKind, bool isIdempotent, std::uint32_t attemptsMade);

    double budget() const { return budget_; }

private:
    RetryLimits limits_;
    double budget_;
};

}
