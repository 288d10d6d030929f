#pragma once

#include "Core/Clock.h"

#include <chrono>

namespace wisteriadock {

// How many of a server's recent requests were answered, as one balancer saw: older ones count less and less. Where a
// server takes flows but leaves requests unanswered, only this shows it; nothing is sent to find out.
class RequestOutcomes {
public:
    // After so long a request counts half.
    static constexpr std::chrono::milliseconds halfLife { 4000 };

    void note(bool isAnswered, TimePoint now);

    // The share of recent requests that was not answered, 0 to 1. The few requests that one balancer sees of one server
    // prove little, so some that were answered are taken for granted.
    float failingShare(TimePoint now) const;
    // The same without what is taken for granted, for many servers together.
    float answered(TimePoint now) const { return answered_ * faded(now); }
    float unanswered(TimePoint now) const { return unanswered_ * faded(now); }

private:
    float faded(TimePoint now) const;

    float answered_ = 0;
    float unanswered_ = 0;
    TimePoint at_ = TimePoint::min();
};

}
