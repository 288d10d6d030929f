#include "Net/MetricsEndpoint.h"

#include <fmt/format.h>
#include <prometheus/exposer.h>

#include <exception>
#include <utility>

namespace wisteriadock {

Result<std::unique_ptr<MetricsEndpoint>> MetricsEndpoint::serve(
    Endpoint endpoint, std::shared_ptr<prometheus::Registry> registry)
{
    try {
        constexpr std::size_t threads = 1;
        auto exposer = std::make_unique<prometheus::Exposer>(endpoint.toString(), threads);
        exposer->RegisterCollectable(registry);
        endpoint.port = static_cast<std::uint16_t>(exposer->GetListeningPorts().at(0));
        return std::unique_ptr<MetricsEndpoint>(new MetricsEndpoint(endpoint, std::move(registry), std::move(exposer)));
    } catch (const std::exception& exception) {
        return Error { ErrorCode::Unavailable,
            fmt::format("can't serve metrics on {}: {}", endpoint.toString(), exception.what()) };
    }
}

MetricsEndpoint::MetricsEndpoint(
    Endpoint address, std::shared_ptr<prometheus::Registry> registry, std::unique_ptr<prometheus::Exposer> exposer)
    : address_(address)
    , registry_(std::move(registry))
    , exposer_(std::move(exposer))
{
}

MetricsEndpoint::~MetricsEndpoint() = default;

}
