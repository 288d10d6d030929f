#pragma once

#include "Core/Clock.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace wisteriadock {

// How long flows take to open, from the opening packet to the caller's next one, as this balancer sees it lately: mean
// and mean deviation, smoothed as TCP smooths its round-trip times (RFC 6298).
class OpeningLatency {
public:
    void note(Duration took)
    {
        const auto sample = std::chrono::duration_cast<Smoothed>(took);
        if (!mean_) {
            mean_ = sample;
            deviation_ = sample / 2;
            return;
        }
        constexpr double meanWeight = 1.0 / 8;
        constexpr double deviationWeight = 1.0 / 4;
        const Smoothed off = sample > *mean_ ? sample - *mean_ : *mean_ - sample;
        deviation_ += (off - deviation_) * deviationWeight;
        mean_ = *mean_ + (sample - *mean_) * meanWeight;
    }

    // An opening that waits for longer is unusual; none before the first was seen.
    std::optional<Duration> outlierThreshold() const
    {
        if (!mean_)
            return std::nullopt;
        return std::chrono::duration_cast<Duration>(*mean_ + 4 * deviation_);
    }

private:
    using Smoothed = std::chrono::duration<double>;

    std::optional<Smoothed> mean_;
    Smoothed deviation_ {};
};

}
