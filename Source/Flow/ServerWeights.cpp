#include "Flow/ServerWeights.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>
#include <vector>

namespace wisteriadock {

namespace {

    // A starting server rises to its whole weight in equal steps. More steps would move more buckets for little.
    constexpr int startSteps = 4;

    // Below so many flows a server, differences are chance.
    constexpr double minFlowsPerServer = 20;
    // At evenness 1, a server that carries half of its share gets this much more of the new flows, as a part of one.
    constexpr double balancingGain = 1.0;
    constexpr double minBalancingFactor = 0.5;
    constexpr double maxBalancingFactor = 2.0;
    // Smaller changes are not worth moving buckets for. The load follows a change only as flows end, so that a finer
    // correction would chase chance.
    constexpr int minFactorChange = 150;

    std::uint16_t toPermille(double factor) { return static_cast<std::uint16_t>(std::lround(factor * fullFactor)); }

    // Names only so many servers as messages have room for, those farthest from their whole weight first.
    WeightFactors mostImportant(const WeightFactors& factors)
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
    // One that comes back is as cold as a new one.
    if (isHealthy && !server->second.isHealthy)
        server->second.startedAt = now;
    server->second.isHealthy = isHealthy;
}

// When too many look unhealthy, the checks are likelier to be wrong than the servers; and even if they are right, the
// rest would fall over under the whole load.
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
    const double part = elapsed / double(server.slowStart.count());
    const int step = std::clamp(1 + int(part * startSteps), 1, startSteps);
    return double(step) / startSteps;
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
    WeightFactors wanted;
    for (const auto& [id, server] : servers_) {
        const auto present = currentFactors.find(id);
        const int current = present == currentFactors.end() ? fullFactor : present->second;
        const bool ejected = ejects && !server.isHealthy;
        const double started = slowStartFactor(server, now);
        int factor = ejected ? 0 : toPermille(started * balancingFactor(id, server, loads));
        // Steps of a slow start and ejections are taken as they are; corrections of the load only if they are worth it.
        const bool onlyEvens = !ejected && started == 1 && current != 0;
        if (onlyEvens && std::abs(factor - current) < minFactorChange)
            factor = current;
        if (factor != fullFactor)
            wanted.emplace(id, static_cast<std::uint16_t>(factor));
    }
    return mostImportant(wanted);
}

}
