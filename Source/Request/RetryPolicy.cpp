#include "Request/RetryPolicy.h"

#include "Net/Http2Client.h"

#include <algorithm>

namespace wisteriadock {

bool mayHaveRun(HttpFailureKind kind) { return kind != HttpFailureKind::NotSent && kind != HttpFailureKind::Refused; }

RetryPolicy::RetryPolicy(const RetryLimits& limits)
    : limits_(limits)
    , budget_(limits.burst)
{
}

void RetryPolicy::countRequest() { budget_ = std::min(limits_.burst, budget_ + limits_.ratio); }

bool RetryPolicy::takeRetry(HttpFailureKind kind, bool isIdempotent, std::uint32_t attemptsMade)
{
    const bool isSafe = isIdempotent || !mayHaveRun(kind) || limits_.rule == RetryRule::Blind;
    const bool isWanted = kind != HttpFailureKind::Cancelled;
    if (!isSafe || !isWanted || attemptsMade >= limits_.attemptsPerRequest || budget_ < 1)
        return false;
    budget_ -= 1;
    return true;
}

}
