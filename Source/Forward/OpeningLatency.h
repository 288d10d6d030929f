#pragma once

#include "Core/Clock.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace wisteriadock {

// Estimates how long flows take to open, from the opening packet to the caller's next packet. Keeps a smoothed mean and
// mean deviation like the round-trip time estimator of TCP (RFC 6298). TokenRouter feeds it; GroupLiveness reads it.
class OpeningLatency {
public:
    void note(Duration latency)
    {
        const auto sample = std::chrono::duration_cast<Smoothed>(latency);
        if (!mean_) {
            mean_ = sample;
            deviation_ = sample / 2;
            return;
        }
        constexpr double meanWeight = 1.0 / 8;
        constexpr double deviationWeight = 1.0 / 4;
        const Smoothed difference = sample > *mean_ ? sample - *mean_ : *mean_ - sample;
        deviation_ += (difference - deviation_) * deviationWeight;
        mean_ = *mean_ + (sample - *mean_) * meanWeight;
    }

    // Openings that take longer are unusual. Empty before the first sample.
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
