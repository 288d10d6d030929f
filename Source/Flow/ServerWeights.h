#pragma once

#include "Configuration/Configuration.h"
#include "Core/Clock.h"
#include "Flow/TableDefinition.h"

#include <map>
#include <span>

namespace wisteriadock {

// The number of active flows of a service per backend server, as this balancer sees them. Packets are sprayed over all
// balancers, so the flows of one balancer are a representative sample.
using ServerLoads = std::map<BackendServerId, std::size_t>;

// Computes the weight factors of the backend servers of one service. FlowEngine keeps one per service. Only the factors
// that the arbiter computes take effect, so that balancers do not react to the same signal independently.
//
// A factor differs from 1 while the server is in slow start, is unhealthy, or carries more or fewer flows than its
// share. The load is the number of flows that this balancer sees; load reports from servers are not used, since they
// may be outdated or wrong.
class ServerWeights {
public:
    // Applies a configuration. Servers that were not active in the previous one begin a slow start; the servers of the
    // first configuration do not.
    void configure(const Service&, std::span<const BackendServer* const> servers, TimePoint now);

    // Records the health of a server, from health checks or failed requests. Recovery begins a slow start.
    void setHealth(BackendServerId, bool isHealthy, TimePoint now);

    // The factors that the servers should have, given the current factors and the load.
    WeightFactors computeFactors(const WeightFactors& currentFactors, const ServerLoads&, TimePoint now) const;

private:
    struct Server {
        std::uint32_t weight = 0;
        std::chrono::seconds slowStart { 0 };
        std::optional<TimePoint> startedAt;
        bool isHealthy = true;
    };

    bool ejectsUnhealthy() const;
    double slowStartFactor(const Server&, TimePoint now) const;
    double balancingFactor(BackendServerId, const Server&, const ServerLoads&) const;

    bool configured_ = false;
    double evenness_ = 0;
    double panicThreshold_ = 0;
    // The active servers.
    std::map<BackendServerId, Server> servers_;
};

}
