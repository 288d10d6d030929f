#include "Flow/ServerWeights.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>
#include <vector>

namespace wisteriadock {

namespace {

    // Number of equal steps in which a slow start reaches the full weight. Each step moves buckets.
    constexpr int slowStartSteps = 4;

    // With fewer flows per server on average, the differences of load are considered random.
    constexpr double minFlowsPerServer = 20;
    // At evenness 1, a server with half of its share of the flows gets 1 + balancingGain times its weight.
    constexpr double balancingGain = 1.0;
    constexpr double minBalancingFactor = 0.5;
    constexpr double maxBalancingFactor = 2.0;
    // Corrections of the load that are smaller than this, in thousandths, are not applied. Each one moves buckets, and
    // the load changes only slowly, as flows end.
    constexpr int minFactorChange = 150;

    std::uint16_t toPermille(double factor) { return static_cast<std::uint16_t>(std::lround(factor * fullFactor)); }

    // Keeps at most maxFactors entries, those farthest from the full factor.
    WeightFactors largestDeviations(const WeightFactors& factors)
    {
        if (factors.size() <= maxFactors)
            return factors;
        std::vector<std::pair<int, BackendServerId>> byDistance;
        for (const auto& [server, factor] : factors)
            byDistance.emplace_back(-std::abs(int(factor) - int(fullFactor)), server);
        std::sort(byDistance.begin(), byDistance.end());
        WeightFactors kept;
        for (std::size_t i = 0; i < maxFactors; ++i)
            kept.emplace(byDistance[i].second, factors.at(byDistance[i].second));
        return kept;
    }

}

void ServerWeights::configure(const Service& service, std::span<const BackendServer* const> servers, TimePoint now)
{
    std::map<BackendServerId, Server> active;
    for (const BackendServer* server : servers) {
        if (server->state != BackendServerState::Active)
            continue;
        Server entry { server->weight, std::chrono::seconds(server->slowStartSeconds), std::nullopt, true };
        const auto known = servers_.find(server->id);
        if (known != servers_.end()) {
            entry.startedAt = known->second.startedAt;
            entry.isHealthy = known->second.isHealthy;
        } else if (configured_) {
            entry.startedAt = now;
        }
        active.emplace(server->id, entry);
    }
    servers_ = std::move(active);
    evenness_ = service.evenness;
    panicThreshold_ = service.panicThreshold;
    configured_ = true;
}

void ServerWeights::setHealth(BackendServerId id, bool isHealthy, TimePoint now)
{
    const auto server = servers_.find(id);
    if (server == servers_.end())
        return;
    // A server that recovers needs a slow start like a new one.
    if (isHealthy && !server->second.isHealthy)
        server->second.startedAt = now;
    server->second.isHealthy = isHealthy;
}

// If too many servers are reported unhealthy, none is ejected: the health checks are probably wrong, and the remaining
// servers could not carry the load.
bool ServerWeights::ejectsUnhealthy() const
{
    const auto healthy
        = std::count_if(servers_.begin(), servers_.end(), [](const auto& server) { return server.second.isHealthy; });
    return healthy > 0 && double(healthy) >= panicThreshold_ * double(servers_.size());
}

double ServerWeights::slowStartFactor(const Server& server, TimePoint now) const
{
    if (!server.startedAt || server.slowStart.count() == 0)
        return 1;
    const double elapsed = std::chrono::duration<double>(now - *server.startedAt).count();
    const double progress = elapsed / double(server.slowStart.count());
    const int step = std::clamp(1 + int(progress * slowStartSteps), 1, slowStartSteps);
    return double(step) / slowStartSteps;
}

double ServerWeights::balancingFactor(BackendServerId id, const Server& server, const ServerLoads& loads) const
{
    const double flows = std::accumulate(servers_.begin(), servers_.end(), 0.0, [&](double sum, const auto& other) {
        const auto load = loads.find(other.first);
        return sum + (load == loads.end() ? 0 : double(load->second));
    });
    const double weights = std::accumulate(
        servers_.begin(), servers_.end(), 0.0, [](double sum, const auto& other) { return sum + other.second.weight; });
    if (flows < minFlowsPerServer * double(servers_.size()) || weights == 0 || server.weight == 0)
        return 1;
    const double share = flows * server.weight / weights;
    const auto load = loads.find(id);
    const double ratio = (load == loads.end() ? 0 : double(load->second)) / share;
    return std::clamp(1 + balancingGain * evenness_ * 2 * (1 - ratio), minBalancingFactor, maxBalancingFactor);
}

WeightFactors ServerWeights::computeFactors(
    const WeightFactors& currentFactors, const ServerLoads& loads, TimePoint now) const
{
    const bool ejects = ejectsUnhealthy();
    WeightFactors desired;
    for (const auto& [id, server] : servers_) {
        const auto present = currentFactors.find(id);
        const int current = present == currentFactors.end() ? fullFactor : present->second;
        const bool ejected = ejects && !server.isHealthy;
        const double slowStart = slowStartFactor(server, now);
        int factor = ejected ? 0 : toPermille(slowStart * balancingFactor(id, server, loads));
        // Slow starts and ejections always apply; corrections of the load only from minFactorChange on.
        const bool onlyBalances = !ejected && slowStart == 1 && current != 0;
        if (onlyBalances && std::abs(factor - current) < minFactorChange)
            factor = current;
        if (factor != fullFactor)
            desired.emplace(id, static_cast<std::uint16_t>(factor));
    }
    return largestDeviations(desired);
}

}
