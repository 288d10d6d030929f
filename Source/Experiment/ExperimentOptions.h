#pragma once

#include "Core/Error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriadock {

// Which steps a scenario takes while its load runs.
enum class FaultMode {
    None, // No change and no failure.
    Planned, // What operators do: drains, returns, joins, planned stops, new versions that arrive unevenly.
    All, // Planned changes, and besides them kills, freezes, cuts and outages of the platform.
};

std::string_view nameOf(FaultMode);
Result<FaultMode> parseFaultMode(std::string_view);

// What the command line of wisteriadock-experiment says.
struct ExperimentOptions {
    std::uint64_t seed = 1;
    std::size_t availabilityZones = 3;
    std::size_t balancers = 3;
    std::size_t backendServers = 19;
    std::chrono::seconds length { 10 };
    // The flow policy that the balancers are told to use; scenario requests: their request policy.
    std::string policy = "default";
    FaultMode faults = FaultMode::None;
    std::uint32_t flowsPerSecond = 200;
    // Scenario requests.
    std::uint32_t requestsPerSecond = 100;
    // Faults of the links between the fabric and the balancers (scenario path).
    std::chrono::milliseconds delay { 0 };
    double loss = 0;
    // Keeps the settings and logs of the processes when the run is over.
    bool keepFiles = false;
};

}
