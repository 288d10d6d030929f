#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriadock {

// What one backend server that takes new work carries at one moment.
struct ServerLoad {
    std::string service;
    std::uint32_t weight = 100;
    std::uint64_t liveFlows = 0;
    // Since the server began.
    std::uint64_t newFlows = 0;
};

// Judges how evenly load is shared from samples that are about a second apart. A server's load counts relative to its
// weight; a service's uneven share counts by its flows.
class BalanceMeter {
public:
    // The servers that are active now, by name.
    void sample(const std::map<std::string, ServerLoad>&);

    // Mean over the samples of the highest load over the mean load, in live flows.
    double liveFlowsMaxOverMean() const { return live_.mean(); }
    // The same of flows begun in windows of windowSamples samples, over servers that were active all the time.
    double newFlowsMaxOverMean() const { return new_.mean(); }

    static constexpr std::size_t windowSamples = 5;

private:
    struct Mean {
        double sum = 0;
        std::size_t count = 0;
        double mean() const { return count == 0 ? 0 : sum / static_cast<double>(count); }
    };

    Mean live_;
    Mean new_;
    std::map<std::string, ServerLoad> windowStart_;
    std::size_t samplesInWindow_ = 0;
};

}
