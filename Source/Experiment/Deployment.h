#pragma once

#include "Experiment/BackendFleet.h"
#include "Experiment/BalancerFleet.h"
#include "Experiment/ConfigurationOperator.h"
#include "Experiment/FabricControl.h"
#include "Experiment/FaultProxyControl.h"
#include "Experiment/FleetPlan.h"
#include "Experiment/PlatformControl.h"

#include <map>
#include <memory>
#include <string>

namespace wisteriadock {

struct DeploymentOptions {
    ExperimentOptions experiment;
    // Number of backend servers that run from the start but are added to the configuration later.
    std::size_t spareServers = 0;
    bool fabricThroughProxy = false;
    // Balancers reach the backend servers' request addresses through links backend/NAME of the fault proxy.
    bool backendsThroughProxy = false;
    // Additional sections of every balancer's settings file.
    std::string extraBalancerSettings = {};
};

// Starts the processes of a run: platform, fault proxy, backend servers, fabric and balancers. The initial
// configuration is in force on all balancers when start() returns.
class Deployment {
public:
    // The loop and the directory must outlive the deployment.
    static Result<std::unique_ptr<Deployment>> start(EventLoop&, const RunDirectory&, DeploymentOptions);
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    EventLoop& loop() { return starter_.loop(); }
    ProcessStarter& starter() { return starter_; }
    const FleetPlan& plan() const { return plan_; }
    FaultProxyControl& proxy() { return *proxy_; }
    PlatformControl& platform() { return *platform_; }
    FabricControl& fabric() { return *fabric_; }
    BackendFleet& backendServers() { return *backendServers_; }
    BalancerFleet& balancers() { return *balancers_; }
    ConfigurationOperator& configurationOperator() { return *operator_; }

    // The initial configuration entry of a planned server.
    BackendServer backendServer(std::size_t index) const;

private:
    Deployment(EventLoop&, const RunDirectory&, DeploymentOptions);

    Result<void> startProcesses();
    Result<void> openBackendLinks();
    Result<void> applyInitialConfiguration();

    DeploymentOptions options_;
    ProcessStarter starter_;
    AdminClient client_;
    FleetPlan plan_;
    std::unique_ptr<FaultProxyControl> proxy_;
    std::unique_ptr<PlatformControl> platform_;
    std::unique_ptr<BackendFleet> backendServers_;
    // The address to which balancers send requests, by server name; empty without links through the fault proxy.
    std::map<std::string, Endpoint> backendLinks_;
    std::unique_ptr<FabricControl> fabric_;
    std::unique_ptr<BalancerFleet> balancers_;
    std::unique_ptr<ConfigurationOperator> operator_;
};

}
