#pragma once

#include "Core/Clock.h"

#include <chrono>

namespace wisteriadock {

// What the process has to do next on its way to a planned stop.
enum class StopStep {
    None,
    Leave, // Tell the other balancers, and go on serving.
    DrainRequests, // Take no new connections.
    Exit,
};

// The bounds on the phases of a planned stop.
struct StopTimes {
    // How long a change of a flow table that depends on this balancer may hold up its leaving.
    std::chrono::milliseconds leaveTimeout { 5000 };
    // How long it goes on serving after the others were told, so that the fabric and the callers turn away first.
    std::chrono::milliseconds drain { 10'000 };
    // How long it serves on after that until others hold its claims. While the platform is out nobody can take over.
    std::chrono::milliseconds claimTimeout { 5000 };
    // How long it waits after that for the answers of open requests.
    std::chrono::milliseconds requestTimeout { 30'000 };
};

// What the phases of a planned stop wait for.
struct StopConditions {
    // No change of a flow table depends on this balancer.
    bool mayLeave = false;
    // Others hold what it knew of requests' keys.
    bool areClaimsReleased = false;
    // Every open request has been answered, and nothing is under way.
    bool areRequestsDrained = false;
};

// The order of a planned stop. Each phase ends by its condition or by its time limit, whichever is first, so that no
// peer, server or caller can keep the process from stopping.
class StopSequence {
public:
    explicit StopSequence(StopTimes);

    // An operator asked for the stop. Asked for a second time, it happens at once.
    void request(TimePoint now);
    bool isRequested() const { return phase_ != Phase::Running; }

    // Call it every 50 to 100 ms. Each step is returned once.
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
