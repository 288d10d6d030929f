#pragma once

#include <cstddef>
#include <cstdint>

namespace wisteriadock {

// The limits of a configuration. They keep an erroneous file from exhausting the memory of all balancers, and are
// documented in docs/operators/configuration-reference.md.
constexpr std::size_t maxConfigurationBytes = 16'000'000;
constexpr std::size_t maxServices = 10'000;
constexpr std::size_t maxBackendServers = 50'000;

constexpr std::uint32_t maxFlowIdleSeconds = 86'400;
constexpr std::uint32_t maxSlots = 10'000;
constexpr std::uint32_t maxConnections = 10'000'000;
constexpr std::uint32_t maxWeight = 10'000;
constexpr std::uint32_t maxSlowStartSeconds = 3'600;
// Below 1, since the burn rate divides by the share that may fail.
constexpr double maxObjective = 0.999999;

}
