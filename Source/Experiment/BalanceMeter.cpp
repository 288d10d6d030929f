#include "Experiment/BalanceMeter.h"

#include <algorithm>

namespace wisteriadock {

void BalanceMeter::sample(const std::map<std::string, ServerLoad>& servers)
{
    sampleLiveFlows(servers);
    sampleNewFlows(servers);
    ++samples_;
}

void BalanceMeter::sampleLiveFlows(const std::map<std::string, ServerLoad>& servers)
{
    std::erase_if(stableWeights_, [&](const auto& entry) { return !servers.contains(entry.first); });
    LoadsByService loads;
    for (const auto& [name, server] : servers) {
        // Servers of the first sample have no earlier flows and count at once.
        const auto [entry, added]
            = stableWeights_.try_emplace(name, StableWeight { server.weight, samples_ == 0 ? settlingSamples : 0 });
        StableWeight& stableWeight = entry->second;
        if (stableWeight.weight != server.weight)
            stableWeight = { server.weight, 0 };
        if (stableWeight.samples >= settlingSamples)
            loads[server.service].push_back(normalizeByWeight(server.liveFlows, server.weight));
        ++stableWeight.samples;
    }
    live_.add(maxOverMean(loads));
}

void BalanceMeter::sampleNewFlows(const std::map<std::string, ServerLoad>& servers)
{
    // Excludes servers that were inactive or changed their weight during the window.
    std::erase_if(windowStart_, [&](const auto& entry) {
        const auto found = servers.find(entry.first);
        return found == servers.end() || found->second.weight != entry.second.weight;
    });
    if (++samplesInWindow_ < windowSamples && !windowStart_.empty())
        return;
    LoadsByService begun;
    for (const auto& [name, before] : windowStart_) {
        const ServerLoad& now = servers.at(name);
        begun[now.service].push_back(normalizeByWeight(now.newFlows - before.newFlows, now.weight));
    }
    new_.add(maxOverMean(begun));
    windowStart_ = servers;
    samplesInWindow_ = 0;
}

// Averages over the services, weighted by their number of flows.
BalanceMeter::Ratio BalanceMeter::maxOverMean(const LoadsByService& services)
{
    Mean all;
    for (const auto& [service, loads] : services) {
        double sum = 0;
        double highest = 0;
        double flows = 0;
        for (const WeightedLoad& load : loads) {
            sum += load.perWeight;
            highest = std::max(highest, load.perWeight);
            flows += load.flows;
        }
        if (sum > 0)
            all.add({ highest / (sum / static_cast<double>(loads.size())), flows });
    }
    return { all.mean(), all.flows };
}

BalanceMeter::WeightedLoad BalanceMeter::normalizeByWeight(std::uint64_t flows, std::uint32_t weight)
{
    const auto count = static_cast<double>(flows);
    return { weight == 0 ? 0 : count / weight, count };
}

}
