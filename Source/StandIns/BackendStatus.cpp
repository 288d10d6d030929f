#include "StandIns/BackendStatus.h"

#include "Core/NameTable.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr auto healthNames = makeNameTable<BackendHealth>({
        { BackendHealth::Healthy, "healthy" },
        { BackendHealth::Draining, "draining" },
        { BackendHealth::Failing, "failing" },
    });

}

std::string_view nameOf(BackendHealth health) { return healthNames.name(health); }

std::optional<BackendHealth> parseBackendHealth(std::string_view name) { return healthNames.value(name); }

void BackendStatus::add(const BackendSample& sample)
{
    samples_.push_back(sample);
    if (samples_.size() > maxSamples)
        samples_.pop_front();
}

BackendSample BackendStatus::reported(TimePoint now) const
{
    BackendSample sample;
    // The newest sample that is at least `lag` old, or the oldest sample if there is none.
    const auto older = std::partition_point(samples_.begin(), samples_.end(),
        [&](const BackendSample& candidate) { return candidate.at <= now - overrides_.lag; });
    if (older != samples_.begin())
        sample = *std::prev(older);
    else if (!samples_.empty())
        sample = samples_.front();

    sample.health = overrides_.health.value_or(sample.health);
    sample.runningRequests = overrides_.runningRequests.value_or(sample.runningRequests);
    sample.liveFlows = overrides_.liveFlows.value_or(sample.liveFlows);
    return sample;
}

}
