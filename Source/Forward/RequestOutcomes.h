#pragma once

#include "Core/Clock.h"

#include <chrono>

namespace wisteriadock {

// Counts a server's recent requests with and without an answer, as seen by one balancer. The counts decay
// exponentially. It detects servers that open flows but leave requests unanswered. OpenFlowTable feeds it.
class RequestOutcomes {
public:
    // A request counts half after this time.
    static constexpr std::chrono::milliseconds halfLife { 4000 };

    void note(bool isAnswered, TimePoint now);

    // The share of recent requests without an answer, 0 to 1. A fixed number of answered requests is added, since the
    // few requests that one balancer sees of a server prove little.
    float failingShare(TimePoint now) const;
    // The decayed counts without that addition, for sums over many servers.
    float answered(TimePoint now) const { return answered_ * decayFactor(now); }
    float unanswered(TimePoint now) const { return unanswered_ * decayFactor(now); }

private:
    float decayFactor(TimePoint now) const;

    float answered_ = 0;
    float unanswered_ = 0;
    TimePoint at_ = TimePoint::min();
};

}
