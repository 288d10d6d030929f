#pragma once

#include "Core/Clock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

enum class ModelOutcome {
    InTime,
    Late,
    Refused, // The last try was refused without being run.
    Failed, // No answer within the caller's time.
};

inline constexpr std::size_t modelOutcomeCount = 4;

std::string_view nameOf(ModelOutcome);

// What callers got of the requests that they asked in one span of time.
struct ModelCounts {
    std::uint64_t outcomes[modelOutcomeCount] = {};
    double maxWorth = 0;
    double earnedWorth = 0;

    void add(ModelOutcome, double worth, double earned);
    std::uint64_t total() const;
    double servedShare() const { return maxWorth > 0 ? earnedWorth / maxWorth : 1; }
};

// What callers got in a run.
struct ModelResult {
    // For the windows and for series over time.
    static constexpr std::chrono::milliseconds windowLength { 2000 };
    static constexpr std::chrono::milliseconds stepLength { 100 };

    ModelCounts all;
    std::vector<ModelCounts> windows;
    std::vector<ModelCounts> steps;
    // Requests that wait or run at all servers together, at the end of each step.
    std::vector<std::uint32_t> serverLoad;
    // Requests of the busiest server over the mean of its service.
    double busiestOverMean = 0;
    std::uint64_t resets = 0;

    // The mean of the two worst windows.
    double worstWindowsMean() const;
};

// The middle of the values, and the smallest and largest.
struct MedianAndRange {
    double median = 0;
    double min = 0;
    double max = 0;
};

MedianAndRange medianAndRangeOf(std::vector<double> values);

// The results of one policy over several seeds.
struct PolicyResults {
    std::string policy;
    std::vector<ModelResult> results;
};

std::string textOf(const std::vector<PolicyResults>&);
std::string jsonOf(const std::vector<PolicyResults>&);
// The served share and the servers' load over time, means over the seeds, a line a step and a column a policy.
std::string timeSeriesCsvOf(const std::vector<PolicyResults>&);

}
