#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

namespace wisteriadock {

// What goes wrong while operators apply.
enum class ConfigurationFault {
    LoseAnswers, // The platform loses the answers to the writes.
    Race, // Two operators apply at the same moment; nothing else goes wrong by itself.
    PlatformOutage, // Every call fails for the step's length.
    SlowPlatform, // Every call takes the step's delay longer.
    Restore, // The platform goes back to an older copy.
    RestartBalancer, // A balancer is killed and another starts in the middle of the roll-out.
    CutZone, // An availability zone reaches neither the others nor the platform.
};

std::string_view nameOf(ConfigurationFault);

struct ConfigurationStep {
    ConfigurationFault fault = ConfigurationFault::Race;
    std::chrono::milliseconds length { 0 };
    std::chrono::milliseconds delay { 0 };
    // Index of the availability zone.
    std::size_t zone = 0;
    // Two operators apply at the same moment, from the same base.
    bool races = false;
    // A balancer is replaced besides, as soon as a version was accepted.
    bool restarts = false;
    // Draws the balancer that is replaced.
    std::uint32_t draw = 0;
    // Until the next step.
    std::chrono::milliseconds pause { 0 };

    bool operator==(const ConfigurationStep&) const = default;
};

// Draws step after step. A lost answer comes first, so that even a short run has one; then every kind comes up once, in
// random order, before any comes up again. The same seed gives the same steps.
class ConfigurationSchedule {
public:
    ConfigurationSchedule(std::uint64_t seed, std::size_t availabilityZones)
        : random_(seed)
        , availabilityZones_(availabilityZones)
    {
    }

    ConfigurationStep next();

private:
    std::size_t drawBelow(std::size_t bound) { return random_() % bound; }
    std::chrono::milliseconds between(std::chrono::milliseconds low, std::chrono::milliseconds high);
    void shuffleFaults();

    std::mt19937_64 random_;
    std::size_t availabilityZones_;
    std::vector<ConfigurationFault> remainingFaults_;
    bool isFirst_ = true;
};

}
