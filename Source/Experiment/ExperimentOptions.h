#pragma once

#include "Core/Error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriadock {

// The steps that a scenario takes while load runs.
enum class FaultMode {
    None, // No steps.
    Planned, // Operator actions: drains, undrains, joins, graceful stops, configuration versions with uneven delays.
    All, // Planned changes and failures: kills, freezes, cuts and platform outages.
};

std::string_view nameOf(FaultMode);
Result<FaultMode> parseFaultMode(std::string_view);

// Options from the command line of wisteriadock-experiment.
struct ExperimentOptions {
    std::uint64_t seed = 1;
    std::size_t availabilityZones = 3;
    std::size_t balancers = 3;
    std::size_t backendServers = 19;
    std::chrono::seconds length { 10 };
    // The flow policy of the balancers; in scenario "requests", their request policy.
    std::string policy = "default";
    FaultMode faults = FaultMode::None;
    std::uint32_t flowsPerSecond = 200;
    // Only in scenario "requests".
    std::uint32_t requestsPerSecond = 100;
    // Faults of the links between the fabric and the balancers, only in scenario "path". The loss is a fraction from 0
    // to 1.
    std::chrono::milliseconds delay { 0 };
    double loss = 0;
    // Keeps the settings and logs of the processes after the run.
    bool keepFiles = false;
};

}
