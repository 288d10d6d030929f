#pragma once

#include "Experiment/FabricControl.h"
#include "Experiment/FaultProxyControl.h"
#include "Experiment/FleetPlan.h"
#include "Experiment/PlatformControl.h"
#include "Experiment/ProcessStarter.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace wisteriadock {

// The services of a run that all its balancers use.
struct BalancerEnvironment {
    ProcessStarter& starter;
    AdminClient& client;
    FaultProxyControl& proxy;
    PlatformControl& platform;
    FabricControl& fabric;
};

// A balancer that was neither stopped nor killed.
struct RunningBalancer {
    std::string name;
    // Index of its availability zone.
    std::size_t zone = 0;
    // The balancer's own address, which bypasses the fault proxy.
    Endpoint requestAddress;
};

// How the balancers of a run are configured.
struct BalancerFleetOptions {
    std::string policy;
    // Also routes the fabric's packets through the fault proxy.
    bool fabricThroughProxy = false;
    // Additional sections of the settings files.
    std::string extraSettings = {};
};

// Starts, stops and queries the balancer processes of a run. Each listens on a loopback address of its own and reaches
// the others and the platform through links of the fault proxy, which identifies the balancers by these addresses. The
// links of balancer b1 in the first zone are peer/1/b1, flow/1/b1, request/1/b1, platform/1/b1 and fabric/1/b1.
class BalancerFleet {
public:
    BalancerFleet(BalancerEnvironment, const FleetPlan&, BalancerFleetOptions);

    // Starts balancers one after another, waits until each listens, and adds them to the platform's list and to the
    // fabric.
    Result<void> add(std::size_t count);
    // Waits until every running balancer is serving, has this configuration version or a newer one, and knows the
    // others.
    Result<void> waitUntilServing(std::uint64_t configurationVersion);

    // An index counts the balancers in the order of their starts. A stop is announced in the platform's list. The
    // fabric keeps sending to a stopped or killed balancer until removeFromFabric is called.
    Result<void> stop(std::size_t);
    void kill(std::size_t);
    void pause(std::size_t);
    void resume(std::size_t);
    Result<void> removeFromFabric(std::size_t);

    std::size_t runningCount() const;
    std::vector<RunningBalancer> runningBalancers() const;
    // True until the balancer is stopped or killed.
    bool isRunning(std::size_t index) const { return !balancers_[index].stopRequested; }
    std::size_t startedCount() const { return balancers_.size(); }
    std::size_t zoneOf(std::size_t index) const { return index % plan_.availabilityZones.size(); }
    // Link and source patterns for the fault proxy, by index of the balancer or of its zone.
    std::string linkOf(const std::string& kind, std::size_t index) const;
    std::string sourceOf(std::size_t index) const;
    std::string sourcesOfZone(std::size_t zone) const;
    std::string sourcesOutsideZone(std::size_t zone) const;

    std::vector<Endpoint> requestAddresses() const;
    // Total processor time of the running balancers, in seconds.
    double processorSeconds() const;
    // Names of the balancers that exited without being stopped or killed, with the end of their logs. Empty if there
    // are none.
    std::string unexpectedExits() const;

private:
    struct Balancer {
        std::string name;
        std::unique_ptr<ChildProcess> process;
        Endpoint peerAddress;
        Endpoint fabricAddress;
        Endpoint requestAddress;
        // The balancer was stopped or killed.
        bool stopRequested = false;
        VmState vmState = VmState::Live;
        bool inFabric = true;
    };

    Result<void> openLinks(Balancer&, std::size_t index, std::string& settings);
    Result<void> start(Balancer&, std::size_t index, const std::string& settings);
    Result<void> updatePlatform();
    Result<void> updateFabric();
    Result<bool> areServing(std::uint64_t configurationVersion);
    Result<bool> isServing(const Balancer&, std::uint64_t configurationVersion);

    BalancerEnvironment environment_;
    const FleetPlan& plan_;
    BalancerFleetOptions options_;
    std::vector<Balancer> balancers_;
};

}
