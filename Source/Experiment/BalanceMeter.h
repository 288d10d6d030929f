#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriadock {

// The load of one active backend server at the time of a sample.
struct ServerLoad {
    std::string service;
    std::uint32_t weight = 100;
    std::uint64_t liveFlows = 0;
    // Since the server started.
    std::uint64_t newFlows = 0;
};

// Measures how evenly load is distributed, from samples that are taken about once per second. A server's load is
// divided by its weight. A server counts only after settlingSamples samples with the same weight, because its earlier
// flows stay where they are. Services and samples are weighted by their number of flows.
class BalanceMeter {
public:
    // Takes the servers that are active now, by name.
    void sample(const std::map<std::string, ServerLoad>&);

    // The ratio of the highest load to the mean load, in live flows per weight.
    double liveFlowsMaxOverMean() const { return live_.mean(); }
    // The same ratio for flows that began in windows of windowSamples samples, over servers that were active
    // throughout.
    double newFlowsMaxOverMean() const { return new_.mean(); }

    static constexpr std::size_t windowSamples = 5;
    static constexpr std::size_t settlingSamples = 10;

private:
    // The ratio of the highest to the mean load, and the number of flows it is computed from.
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
    static WeightedLoad normalizeByWeight(std::uint64_t flows, std::uint32_t weight);
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
