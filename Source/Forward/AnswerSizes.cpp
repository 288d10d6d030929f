#include "Forward/AnswerSizes.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // The share of a served answer in the mean, once there are enough of them.
    constexpr float servedShare = 1.0F / 50;
    // The share of a rejection. When nearly all requests are rejected, the size of served answers is remembered for a
    // thousand answers and more. Without this share, a route whose answers become shorter for good would count as
    // rejecting for ever.
    constexpr float rejectedShare = 1.0F / 2000;

}

bool AnswerSizes::note(std::uint32_t bytes)
{
    const bool isShort = !isServed(bytes);
    const bool isFirst = known_ == 0;
    known_ = std::min(known_ + 1, lastAnswers);
    last_[next_] = bytes;
    next_ = (next_ + 1) % lastAnswers;
    const auto size = static_cast<float>(bytes);
    if (isFirst)
        usual_ = size;
    const bool isRejection = isShort && recurs(bytes);
    const float share = isRejection ? rejectedShare : std::max(servedShare, 1 / static_cast<float>(known_));
    usual_ += (size - usual_) * share;
    return isRejection;
}

bool AnswerSizes::recurs(std::uint32_t bytes) const
{
    const auto end = last_.begin() + static_cast<std::ptrdiff_t>(known_);
    return static_cast<std::size_t>(std::count(last_.begin(), end, bytes)) >= minRecurrences;
}

}
