#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <prometheus/registry.h>

#include <memory>

namespace prometheus {
class Exposer;
}

namespace wisteriadock {

// Serves a registry of metrics over HTTP at /metrics, on a thread of its own, for as long as it lives.
class MetricsEndpoint {
public:
    // A port of 0 takes an ephemeral one. Fails with Unavailable when the address can't be bound.
    static Result<std::unique_ptr<MetricsEndpoint>> serve(Endpoint, std::shared_ptr<prometheus::Registry>);
    ~MetricsEndpoint();
    MetricsEndpoint(const MetricsEndpoint&) = delete;
    MetricsEndpoint& operator=(const MetricsEndpoint&) = delete;

    Endpoint address() const { return address_; }

private:
    MetricsEndpoint(Endpoint, std::shared_ptr<prometheus::Registry>, std::unique_ptr<prometheus::Exposer>);

    Endpoint address_;
    // The exposer itself only points to the registry weakly.
    std::shared_ptr<prometheus::Registry> registry_;
    std::unique_ptr<prometheus::Exposer> exposer_;
};

}
