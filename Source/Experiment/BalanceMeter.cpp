#include "Experiment/BalanceMeter.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    struct WeightedLoad {
        double perWeight = 0;
        double flows = 0;
    };

    using LoadsByService = std::map<std::string, std::vector<WeightedLoad>>;

    // Highest over mean of each service, weighted by the service's flows; 0 when there is no flow at all.
    double maxOverMean(const LoadsByService& services)
    {
        double weighted = 0;
        double allFlows = 0;
        for (const auto& [service, loads] : services) {
            double sum = 0;
            double highest = 0;
            double flows = 0;
            for (const WeightedLoad& load : loads) {
                sum += load.perWeight;
                highest = std::max(highest, load.perWeight);
                flows += load.flows;
            }
            if (sum <= 0)
                continue;
            weighted += flows * highest / (sum / static_cast<double>(loads.size()));
            allFlows += flows;
        }
        return allFlows > 0 ? weighted / allFlows : 0;
    }

    WeightedLoad weigh(std::uint64_t flows, std::uint32_t weight)
    {
        const auto count = static_cast<double>(flows);
        return { weight == 0 ? 0 : count / weight, count };
    }

}

void BalanceMeter::sample(const std::map<std::string, ServerLoad>& servers)
{
    LoadsByService live;
    for (const auto& [name, server] : servers)
        live[server.service].push_back(weigh(server.liveFlows, server.weight));
    if (const double ratio = maxOverMean(live); ratio > 0) {
        live_.sum += ratio;
        ++live_.count;
    }

    // A server whose weight changed, or that was away, is left out of the window.
    std::erase_if(windowStart_, [&](const auto& entry) {
        const auto found = servers.find(entry.first);
        return found == servers.end() || found->second.weight != entry.second.weight;
    });
    if (++samplesInWindow_ < windowSamples && !windowStart_.empty())
        return;
    LoadsByService begun;
    for (const auto& [name, before] : windowStart_) {
        const ServerLoad& now = servers.at(name);
        begun[now.service].push_back(weigh(now.newFlows - before.newFlows, now.weight));
    }
    if (const double ratio = maxOverMean(begun); ratio > 0) {
        new_.sum += ratio;
        ++new_.count;
    }
    windowStart_ = servers;
    samplesInWindow_ = 0;
}

}
