#include "Forward/RequestOutcomes.h"

#include <cmath>

namespace wisteriadock {

namespace {

    // Answered requests that are added for every server, so that one unanswered request alone is a share of a fifth.
    constexpr float assumedAnswered = 4;

}

void RequestOutcomes::note(bool isAnswered, TimePoint now)
{
    const float factor = decayFactor(now);
    answered_ = answered_ * factor + (isAnswered ? 1.0F : 0.0F);
    unanswered_ = unanswered_ * factor + (isAnswered ? 0.0F : 1.0F);
    at_ = now;
}

float RequestOutcomes::failingShare(TimePoint now) const
{
    const float failed = unanswered(now);
    return failed / (failed + answered(now) + assumedAnswered);
}

float RequestOutcomes::decayFactor(TimePoint now) const
{
    if (at_ == TimePoint::min())
        return 0;
    const std::chrono::duration<float> age = now - at_;
    const std::chrono::duration<float> half = halfLife;
    return std::exp2(-age / half);
}

}
