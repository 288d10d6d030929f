#pragma once

#include "Core/Clock.h"

#include <chrono>

namespace wisteriadock {

// The next step of a planned stop.
enum class StopStep {
    None,
    Leave, // Announce the stop to the other balancers and continue serving.
    DrainRequests, // Accept no new connections.
    Exit,
};

// Time limits of the phases of a planned stop.
struct StopTimes {
    // How long the balancer waits for flow table changes that depend on it before it announces the stop.
    std::chrono::milliseconds leaveTimeout { 5000 };
    // How long it then continues to serve, so that the fabric and the callers switch to other balancers first.
    std::chrono::milliseconds drain { 10'000 };
    // How long it then waits until others hold its claims. Nobody can take them over while the platform is unreachable.
    std::chrono::milliseconds claimTimeout { 5000 };
    // How long it then waits for the responses to open requests.
    std::chrono::milliseconds requestTimeout { 30'000 };
};

// The conditions that the phases of a planned stop wait for.
struct StopConditions {
    // No flow table change depends on this balancer.
    bool mayLeave = false;
    // Other balancers hold the claims that this one held.
    bool areClaimsReleased = false;
    // Every request has been answered and no work is running.
    bool areRequestsDrained = false;
};

// The order of steps in a planned stop. Each phase ends when its condition holds or its time limit expires, so that no
// peer, server or caller can keep the process from stopping. BalancerDaemon calls it.
class StopSequence {
public:
    explicit StopSequence(StopTimes);

    // Starts the stop. A second call skips all phases that remain.
    void request(TimePoint now);
    bool isRequested() const { return phase_ != Phase::Running; }

    // Must be called every 50 to 100 ms. Returns each step once, except Exit, which it repeats.
    StopStep tick(const StopConditions&, TimePoint now);

private:
    enum class Phase {
        Running,
        AwaitingLeave,
        Draining,
        AwaitingClaims,
        AwaitingRequests,
        Exiting,
    };

    void enter(Phase, TimePoint now, std::chrono::milliseconds limit);

    StopTimes times_;
    Phase phase_ = Phase::Running;
    TimePoint limit_;
};

}
