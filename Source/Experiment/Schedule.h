#pragma once

#include "Experiment/ExperimentOptions.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace wisteriadock {

// A change or failure during a run.
enum class StepKind {
    DrainServer,
    UndrainServer,
    ChangeWeight,
    AddServer,
    JoinBalancer,
    StopBalancer, // SIGTERM. The fabric is updated after the step's length.
    DelayVersions, // Messages from the platform to one balancer are delayed for the step's length.
    KillBalancer, // SIGKILL. The fabric is updated after the step's length.
    FreezeBalancer, // SIGSTOP, then SIGCONT after the step's length.
    CutOneWay, // One balancer cannot reach another for the step's length.
    CutZone, // An availability zone reaches neither the others nor the platform for the step's length.
    PlatformOutage, // All calls to the platform fail for the step's length.
};

std::string_view nameOf(StepKind);

// True for deliberate actions of operators, false for failures.
bool isPlannedChange(StepKind);

struct Step {
    // Time since load began.
    std::chrono::milliseconds at { 0 };
    StepKind kind = StepKind::DrainServer;
    // Index of the backend server, balancer or availability zone.
    std::size_t subject = 0;
    // CutOneWay: index of the balancer that becomes unreachable from the subject.
    std::size_t other = 0;
    std::chrono::milliseconds length { 0 };
    std::uint32_t weight = 0;

    bool operator==(const Step&) const = default;
};

// The fleet for which a schedule is made. serviceOfServer holds the service index of each backend server. Balancer i is
// in availability zone i modulo availabilityZones.
struct ScheduleOptions {
    std::uint64_t seed = 1;
    FaultMode mode = FaultMode::None;
    std::chrono::milliseconds length { 0 };
    std::size_t availabilityZones = 3;
    std::size_t balancers = 6;
    std::vector<std::size_t> serviceOfServer;
};

// Generates the random steps of a run, sorted by time. The same options give the same steps. At any time most servers
// of every service are active and more than half of the balancers run, so that failures are not caused by lack of
// capacity. Added servers and balancers get the next free index.
std::vector<Step> makeSchedule(const ScheduleOptions&);

// Minimum time from a drain to the undrain. It exceeds DrainChecker::grace, so that late new flows are detected.
inline constexpr std::chrono::seconds minDrainTime { 7 };

}
