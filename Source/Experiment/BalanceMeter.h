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
// weight, and only once the server was active with that weight for a while: the flows that it held before cannot move.
// Services and samples count by their flows, so that the first few flows of a run perWeight little.
class BalanceMeter {
public:
    // The servers that are active now, by name.
    void sample(const std::map<std::string, ServerLoad>&);

    // The highest load over the mean load, in live flows.
    double liveFlowsMaxOverMean() const { return live_.mean(); }
    // The same of flows begun in windows of windowSamples samples, over servers that were active all the time.
    double newFlowsMaxOverMean() const { return new_.mean(); }

    static constexpr std::size_t windowSamples = 5;
    static constexpr std::size_t settlingSamples = 10;

private:
    // Highest over mean, and the flows that it was found among.
    struct Ratio {
        double value = 0;
        double flows = 0;
    };

    struct Mean {
        double sum = 0;
        double flows = 0;
        void add(Ratio ratio)
        {
            sum += ratio.value * ratio.flows;
            flows += ratio.flows;
        }
        double mean() const { return flows > 0 ? sum / flows : 0; }
    };

    struct StableWeight {
        std::uint32_t weight = 0;
        std::size_t samples = 0;
    };

    struct WeightedLoad {
        double perWeight = 0;
        double flows = 0;
    };

    using LoadsByService = std::map<std::string, std::vector<WeightedLoad>>;

    static Ratio maxOverMean(const LoadsByService&);
    static WeightedLoad perWeight(std::uint64_t flows, std::uint32_t weight);
    void sampleLiveFlows(const std::map<std::string, ServerLoad>&);
    void sampleNewFlows(const std::map<std::string, ServerLoad>&);

    Mean live_;
    Mean new_;
    std::size_t samples_ = 0;
    std::map<std::string, StableWeight> stableWeights_;
    std::map<std::string, ServerLoad> windowStart_;
    std::size_t samplesInWindow_ = 0;
};

}
