#include "Forward/RequestOutcomes.h"

#include <cmath>

namespace wisteriadock {

namespace {

    // Answered requests that every server is credited with: one unanswered request alone makes a share of a fifth.
    constexpr float credit = 4;

}

void RequestOutcomes::note(bool isAnswered, TimePoint now)
{
    const float left = faded(now);
    answered_ = answered_ * left + (isAnswered ? 1.0F : 0.0F);
    unanswered_ = unanswered_ * left + (isAnswered ? 0.0F : 1.0F);
    at_ = now;
}

float RequestOutcomes::failingShare(TimePoint now) const
{
    const float failed = unanswered(now);
    return failed / (failed + answered(now) + credit);
}

float RequestOutcomes::faded(TimePoint now) const
{
    if (at_ == TimePoint::min())
        return 0;
    const std::chrono::duration<float> age = now - at_;
    const std::chrono::duration<float> half = halfLife;
    return std::exp2(-age / half);
}

}
