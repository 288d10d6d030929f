#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

namespace wisteriadock {

// Faults that are injected while operators apply configurations.
enum class ConfigurationFault {
    LoseAnswers, // The platform executes writes but drops their responses.
    Race, // Two operators apply concurrently, without any other fault.
    PlatformOutage, // Every call fails for the step's length.
    SlowPlatform, // Every call is delayed by the step's delay.
    Restore, // The platform is restored to an older snapshot.
    RestartBalancer, // A balancer is killed and replaced during the rollout.
    CutZone, // An availability zone reaches neither the others nor the platform.
};

std::string_view nameOf(ConfigurationFault);

struct ConfigurationStep {
    ConfigurationFault fault = ConfigurationFault::Race;
    std::chrono::milliseconds length { 0 };
    std::chrono::milliseconds delay { 0 };
    // Index of the availability zone.
    std::size_t zone = 0;
    // Two operators apply concurrently, with the same base version.
    bool races = false;
    // A balancer is also replaced as soon as a version is accepted.
    bool restarts = false;
    // Random number that selects the balancer to replace.
    std::uint32_t balancerSelector = 0;
    // Time until the next step.
    std::chrono::milliseconds pause { 0 };

    bool operator==(const ConfigurationStep&) const = default;
};

// Generates random steps for ConfigurationRun. The first step loses answers, so that short runs have one too. Then all
// kinds follow once each, in random order, before any repeats. The same seed gives the same steps.
class ConfigurationSchedule {
public:
    ConfigurationSchedule(std::uint64_t seed, std::size_t availabilityZones)
        : random_(seed)
        , availabilityZones_(availabilityZones)
    {
    }

    ConfigurationStep next();

private:
    std::size_t randomBelow(std::size_t bound) { return random_() % bound; }
    std::chrono::milliseconds randomBetween(std::chrono::milliseconds low, std::chrono::milliseconds high);
    void shuffleFaults();

    std::mt19937_64 random_;
    std::size_t availabilityZones_;
    std::vector<ConfigurationFault> remainingFaults_;
    bool isFirst_ = true;
};

}
