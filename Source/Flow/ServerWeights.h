#pragma once

#include "Configuration/Configuration.h"
#include "Core/Clock.h"
#include "Flow/TableDefinition.h"

#include <map>
#include <span>

namespace wisteriadock {

// How many flows of a service each backend server carries, as one balancer sees them. Packets are sprayed, so one
// balancer's flows are a fair sample of all.
using ServerLoads = std::map<BackendServerId, std::size_t>;

// Decides how much of its configured weight each backend server of one service should get. Every balancer keeps one per
// service; only the arbiter's word counts, so that many balancers never act on one stale signal at the same time.
//
// Three things lower or raise a server's factor: it has just started (slow start), it is reported unhealthy, or it
// carries more or fewer flows than its share. The load is that of the balancer's own traffic; what a server says of its
// load is not asked for, since it lags or misleads.
class ServerWeights {
public:
    // A configuration came into force. Servers that were not active before start slowly, except in the first one.
    void configure(const Service&, std::span<const BackendServer* const> servers, TimePoint now);

    // What a health check, or requests that could not reach the server, say of it.
    void setHealth(BackendServerId, bool isHealthy, TimePoint now);

    // The factors that the servers should have, given the ones that are in force and the load.
    WeightFactors computeFactors(const WeightFactors& inForce, const ServerLoads&, TimePoint now) const;

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
    // The active ones.
    std::map<BackendServerId, Server> servers_;
};

}
