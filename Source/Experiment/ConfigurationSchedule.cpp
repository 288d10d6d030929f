#include "Experiment/ConfigurationSchedule.h"

#include "Core/NameTable.h"

#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto faultNames = makeNameTable<ConfigurationFault>({
        { ConfigurationFault::LoseAnswers, "lose_answers" },
        { ConfigurationFault::Race, "race" },
        { ConfigurationFault::PlatformOutage, "platform_outage" },
        { ConfigurationFault::SlowPlatform, "slow_platform" },
        { ConfigurationFault::Restore, "restore" },
        { ConfigurationFault::RestartBalancer, "restart_balancer" },
        { ConfigurationFault::CutZone, "cut_zone" },
    });

}

std::string_view nameOf(ConfigurationFault fault) { return faultNames.name(fault); }

ConfigurationStep ConfigurationSchedule::next()
{
    ConfigurationStep step;
    if (std::exchange(isFirst_, false)) {
        step.fault = ConfigurationFault::LoseAnswers;
    } else {
        if (remainingFaults_.empty())
            shuffleFaults();
        step.fault = remainingFaults_.back();
        remainingFaults_.pop_back();
    }
    step.length = randomBetween(2s, 4s);
    step.delay = randomBetween(200ms, 700ms);
    step.zone = randomBelow(availabilityZones_);
    step.races = step.fault == ConfigurationFault::Race || randomBelow(2) == 0;
    step.restarts = step.fault == ConfigurationFault::RestartBalancer || randomBelow(3) == 0;
    step.balancerSelector = static_cast<std::uint32_t>(randomBelow(1U << 16U));
    step.pause = randomBetween(100ms, 800ms);
    return step;
}

std::chrono::milliseconds ConfigurationSchedule::randomBetween(
    std::chrono::milliseconds low, std::chrono::milliseconds high)
{
    return low + std::chrono::milliseconds(randomBelow(static_cast<std::size_t>((high - low).count() + 1)));
}

void ConfigurationSchedule::shuffleFaults()
{
    remainingFaults_ = { ConfigurationFault::LoseAnswers, ConfigurationFault::Race, ConfigurationFault::PlatformOutage,
        ConfigurationFault::SlowPlatform, ConfigurationFault::Restore, ConfigurationFault::RestartBalancer,
        ConfigurationFault::CutZone };
    for (std::size_t i = remainingFaults_.size(); i > 1; --i)
        std::swap(remainingFaults_[i - 1], remainingFaults_[randomBelow(i)]);
}

}
