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
    step.length = between(2s, 4s);
    step.delay = between(200ms, 700ms);
    step.zone = drawBelow(availabilityZones_);
    step.races = step.fault == ConfigurationFault::Race || drawBelow(2) == 0;
    step.restarts = step.fault == ConfigurationFault::RestartBalancer || drawBelow(3) == 0;
    step.draw = static_cast<std::uint32_t>(drawBelow(1U << 16U));
    step.pause = between(100ms, 800ms);
    return step;
}

std::chrono::milliseconds ConfigurationSchedule::between(std::chrono::milliseconds low, std::chrono::milliseconds high)
{
    return low + std::chrono::milliseconds(drawBelow(static_cast<std::size_t>((high - low).count() + 1)));
}

void ConfigurationSchedule::shuffleFaults()
{
    remainingFaults_ = { ConfigurationFault::LoseAnswers, ConfigurationFault::Race, ConfigurationFault::PlatformOutage,
        ConfigurationFault::SlowPlatform, ConfigurationFault::Restore, ConfigurationFault::RestartBalancer,
        ConfigurationFault::CutZone };
    for (std::size_t i = remainingFaults_.size(); i > 1; --i)
        std::swap(remainingFaults_[i - 1], remainingFaults_[drawBelow(i)]);
}

}
