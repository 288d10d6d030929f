#pragma once

#include "Core/Clock.h"

#include <cstdint>

namespace wisteriadock {

// Defined in Net/Http2Client.h.
enum class HttpFailureKind;

// Which failures are followed by another attempt.
enum class RetryRule {
    Safe, // Never sends work again that may have run, unless it is idempotent.
    Blind, // Sends anything again. Runs work twice; exists as the baseline of experiments and tests only.
};

// Bounds on attempts beyond the first.
struct RetryLimits {
    // Further attempts per request over time. A ratio keeps retries from multiplying load when everything fails.
    double ratio = 0.1;
    // Attempts that may be saved up while nothing fails.
    double burst = 20;
    std::uint32_t attemptsPerRequest = 3;
    RetryRule rule = RetryRule::Safe;
};

// Whether a failed attempt may have been acted on by the server.
bool mayHaveRun(HttpFailureKind);

// Decides on further attempts within a budget that first attempts fill.
class RetryPolicy {
public:
    explicit RetryPolicy(const RetryLimits& limits);

    void countRequest();

    // Takes one from the budget if another attempt is allowed. A cancelled attempt never is.
    bool takeRetry(HttpFailureKind, bool isIdempotent, std::uint32_t attemptsMade);

    double budget() const { return budget_; }

private:
    RetryLimits limits_;
    double budget_;
};

}
