#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <prometheus/registry.h>

#include <memory>

namespace prometheus {
class Exposer;
}

namespace wisteriadock {

// Serves a Prometheus registry over HTTP at /metrics, on a separate thread, until it is destroyed.
class MetricsEndpoint {
public:
    // Port 0 selects an ephemeral port. Fails with ErrorCode::Unavailable if the address can't be bound.
    static Result<std::unique_ptr<MetricsEndpoint>> serve(Endpoint, std::shared_ptr<prometheus::Registry>);
    ~MetricsEndpoint();
    MetricsEndpoint(const MetricsEndpoint&) = delete;
    MetricsEndpoint& operator=(const MetricsEndpoint&) = delete;

    Endpoint address() const { return address_; }

private:
    MetricsEndpoint(Endpoint, std::shared_ptr<prometheus::Registry>, std::unique_ptr<prometheus::Exposer>);

    Endpoint address_;
    // The exposer holds only a weak pointer to the registry.
    std::shared_ptr<prometheus::Registry> registry_;
    std::unique_ptr<prometheus::Exposer> exposer_;
};

}
