#include "Experiment/Deployment.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto applyPollInterval = 20ms;

}

Result<std::unique_ptr<Deployment>> Deployment::start(
    EventLoop& loop, const RunDirectory& directory, DeploymentOptions options)
{
    std::unique_ptr<Deployment> deployment(new Deployment(loop, directory, std::move(options)));
    BOOST_OUTCOME_TRYV(deployment->startProcesses());
    BOOST_OUTCOME_TRYV(deployment->applyInitialConfiguration());
    return deployment;
}

Deployment::Deployment(EventLoop& loop, const RunDirectory& directory, DeploymentOptions options)
    : options_(std::move(options))
    , starter_(loop, directory)
    , client_(loop)
    , plan_(FleetPlan::make(options_.experiment, options_.spareServers))
{
}

Result<void> Deployment::startProcesses()
{
    const std::uint64_t seed = options_.experiment.seed;
    BOOST_OUTCOME_TRY(proxy, FaultProxyControl::start(starter_, client_, seed));
    proxy_ = std::move(proxy);
    BOOST_OUTCOME_TRY(platform, PlatformControl::start(starter_, client_));
    platform_ = std::move(platform);
    BOOST_OUTCOME_TRY(backendServers, BackendFleet::start(starter_, client_, plan_));
    backendServers_ = std::move(backendServers);
    BOOST_OUTCOME_TRYV(openBackendLinks());
    BOOST_OUTCOME_TRY(fabric, FabricControl::start(starter_, client_, seed));
    fabric_ = std::move(fabric);
    balancers_ = std::make_unique<BalancerFleet>(
        BalancerEnvironment { starter_, client_, *proxy_, *platform_, *fabric_ }, plan_,
        BalancerFleetOptions {
            options_.experiment.policy, options_.fabricThroughProxy, options_.extraBalancerSettings });
    return balancers_->add(options_.experiment.balancers);
}

Result<void> Deployment::openBackendLinks()
{
    if (!options_.backendsThroughProxy)
        return boost::outcome_v2::success();
    for (const PlannedServer& server : plan_.servers) {
        BOOST_OUTCOME_TRY(link,
            proxy_->putLink("backend/" + server.name, LinkProtocol::Tcp, backendServers_->requestAddress(server.name)));
        backendLinks_[server.name] = link;
    }
    return boost::outcome_v2::success();
}

Result<void> Deployment::applyInitialConfiguration()
{
    Configuration first;
    first.services = plan_.services;
    for (std::size_t i = 0; i < plan_.initialServerCount(); ++i)
        first.backendServers.push_back(backendServer(i));
    const auto byName = [](const auto& one, const auto& other) { return one.name < other.name; };
    std::sort(first.services.begin(), first.services.end(), byName);
    std::sort(first.backendServers.begin(), first.backendServers.end(), byName);
    operator_ = std::make_unique<ConfigurationOperator>(starter_, platform_->address(), std::move(first));

    operator_->change([](Configuration&) {});
    while (!operator_->isIdle()) {
        BOOST_OUTCOME_TRYV(operator_->poll());
        BOOST_OUTCOME_TRYV(loop().runUntil(Clock::now() + applyPollInterval));
    }
    return balancers_->waitUntilServing(1);
}

BackendServer Deployment::backendServer(std::size_t index) const
{
    const PlannedServer& planned = plan_.servers[index];
    BackendServer server;
    server.name = planned.name;
    server.id = backendServerIdOf(planned.name);
    server.service = plan_.services[planned.service].id;
    server.flowAddress = backendServers_->flowAddress(planned.name);
    const auto link = backendLinks_.find(planned.name);
    server.requestAddress = link == backendLinks_.end() ? backendServers_->requestAddress(planned.name) : link->second;
    server.availabilityZone = planned.availabilityZone;
    return server;
}

}
