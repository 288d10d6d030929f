#pragma once

#include "Core/Clock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

enum class ModelOutcome {
    InTime, // Answered within the target latency.
    Late,
    Refused, // A server rejected the last attempt without running it.
    Failed, // No answer within the caller's time budget.
};

inline constexpr std::size_t modelOutcomeCount = 4;

std::string_view nameOf(ModelOutcome);

// The outcomes of the requests that callers started in one span of time.
struct ModelCounts {
    std::uint64_t outcomes[modelOutcomeCount] = {};
    // The worth of all requests if each were answered in time, and the worth earned.
    double maxWorth = 0;
    double earnedWorth = 0;

    void add(ModelOutcome, double worth, double earned);
    std::uint64_t total() const;
    // Earned worth divided by maximum worth, 0 to 1; 1 without requests.
    double servedShare() const { return maxWorth > 0 ? earnedWorth / maxWorth : 1; }
};

// The results of one run.
struct ModelResult {
    // The lengths of the elements of `windows`, and of `steps` and `serverLoad`.
    static constexpr std::chrono::milliseconds windowLength { 2000 };
    static constexpr std::chrono::milliseconds stepLength { 100 };

    ModelCounts all;
    std::vector<ModelCounts> windows;
    std::vector<ModelCounts> steps;
    // The number of requests queued or running at all servers at the end of each step.
    std::vector<std::uint32_t> serverLoad;
    // See ModelBackends::busiestOverMean().
    double busiestOverMean = 0;
    // Flows reset by a forwarder or a server.
    std::uint64_t resets = 0;

    // The mean served share of the two windows with the lowest.
    double worstWindowsMean() const;
};

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

// A table with one line per policy.
std::string textOf(const std::vector<PolicyResults>&);
std::string jsonOf(const std::vector<PolicyResults>&);
// CSV with one line per step and two columns per policy: the served share and the servers' load, averaged over the
// seeds.
std::string timeSeriesCsvOf(const std::vector<PolicyResults>&);

}
