#pragma once

#include "Experiment/ExperimentOptions.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace wisteriadock {

// What happens to the system at one moment of a run.
enum class StepKind {
    DrainServer,
    UndrainServer,
    ChangeWeight,
    AddServer,
    JoinBalancer,
    StopBalancer, // SIGTERM; the fabric hears of it only after the step's length.
    DelayVersions, // One balancer hears from the platform late for the step's length.
    KillBalancer, // SIGKILL; the fabric hears of it only after the step's length.
    FreezeBalancer, // SIGSTOP, and SIGCONT after the step's length.
    CutOneWay, // One balancer no longer reaches another for the step's length.
    CutZone, // An availability zone reaches neither the others nor the platform for the step's length.
    PlatformOutage, // The platform answers nothing for the step's length.
};

std::string_view nameOf(StepKind);

// True for what operators do on purpose.
bool isPlannedChange(StepKind);

struct Step {
    // Since the load began.
    std::chrono::milliseconds at { 0 };
    StepKind kind = StepKind::DrainServer;
    // Index of the backend server, balancer or availability zone.
    std::size_t subject = 0;
    // CutOneWay: index of the balancer that is not reached any more.
    std::size_t other = 0;
    std::chrono::milliseconds length { 0 };
    std::uint32_t weight = 0;

    bool operator==(const Step&) const = default;
};

// The fleet that a schedule is made for. Servers are numbered; which of them belong to one service is told by
// serviceOfServer. Balancer i stands in availability zone i modulo availabilityZones.
struct ScheduleOptions {
    std::uint64_t seed = 1;
    FaultMode mode = FaultMode::None;
    std::chrono::milliseconds length { 0 };
    std::size_t availabilityZones = 3;
    std::size_t balancers = 6;
    std::vector<std::size_t> serviceOfServer;
};

// Draws the steps of a run, sorted by time. The same options give the same steps. At any time most servers of every
// service take new work and more than half of the balancers run, so that the steps test the system and not the lack of
// machines. A service's servers are numbered on from the last when one is added; so are balancers.
std::vector<Step> makeSchedule(const ScheduleOptions&);

// A server that was drained is watched for this long before it may return, so that late new flows are seen.
inline constexpr std::chrono::seconds minDrainTime { 7 };

}
