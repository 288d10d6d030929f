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

// The doors that all balancers of a run stand behind.
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
    // Its own address, past the fault proxy.
    Endpoint requestAddress;
};

// How the balancers of a run are set up.
struct BalancerFleetOptions {
    std::string policy;
    // Sends the fabric's packets through the fault proxy too.
    bool fabricThroughProxy = false;
    // Further sections of the settings files.
    std::string extraSettings = {};
};

// The balancers of a run. Each listens on a loopback address of its own and reaches the others and the platform through
// links of the fault proxy, which tells them apart by those addresses. The links of balancer b1 in the first zone are
// peer/1/b1, flow/1/b1, request/1/b1, platform/1/b1 and fabric/1/b1.
class BalancerFleet {
public:
    BalancerFleet(BalancerEnvironment, const FleetPlan&, BalancerFleetOptions);

    // Starts balancers side by side and waits until they listen. The platform's list and the fabric hear of them.
    Result<void> add(std::size_t count);
    // Waits until every balancer that runs serves, has this configuration or a newer one, and knows the others.
    Result<void> waitUntilServing(std::uint64_t configurationVersion);

    // By index, in the order of the starts. A stop is announced on the platform's list; the fabric goes on sending to a
    // balancer that was stopped or killed until removeFromFabric.
    Result<void> stop(std::size_t);
    void kill(std::size_t);
    void pause(std::size_t);
    void resume(std::size_t);
    Result<void> removeFromFabric(std::size_t);

    std::size_t running() const;
    std::vector<RunningBalancer> runningBalancers() const;
    // By the index of a start, as above.
    bool isRunning(std::size_t index) const { return !balancers_[index].leaving; }
    std::size_t started() const { return balancers_.size(); }
    std::size_t zoneOf(std::size_t index) const { return index % plan_.availabilityZones.size(); }
    // Patterns for the fault proxy, by index of the balancer or of its zone.
    std::string linkOf(const std::string& kind, std::size_t index) const;
    std::string sourceOf(std::size_t index) const;
    std::string sourcesOfZone(std::size_t zone) const;
    std::string sourcesOutsideZone(std::size_t zone) const;

    std::vector<Endpoint> requestAddresses() const;
    // Processor seconds that the running ones have used.
    double processorSeconds() const;
    // Names of balancers that ended although nobody stopped or killed them, with the end of their logs.
    std::string unexpectedEnds() const;

private:
    struct Balancer {
        std::string name;
        std::unique_ptr<ChildProcess> process;
        Endpoint peerAddress;
        Endpoint fabricAddress;
        Endpoint requestAddress;
        // Asked to stop, or killed.
        bool leaving = false;
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
