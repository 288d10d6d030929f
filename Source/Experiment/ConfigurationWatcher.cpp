#include "Experiment/ConfigurationWatcher.h"

#include "Configuration/ConfigurationContent.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr std::chrono::milliseconds interval { 200 };

}

void ConfigurationWatcher::poll()
{
    if (Clock::now() < next_)
        return;
    next_ = Clock::now() + interval;
    updateProcesses();
    for (const RunningBalancer& balancer : balancers_.runningBalancers())
        pollBalancer(balancer, watched_[balancer.name]);
}

void ConfigurationWatcher::updateProcesses()
{
    const auto running = balancers_.runningBalancers();
    const TimePoint now = Clock::now();
    for (const RunningBalancer& balancer : running) {
        if (!watched_.try_emplace(balancer.name, WatchedBalancer { balancer.zone }).second)
            continue;
        checker_.processStarted(balancer.name, now);
        if (cutZones_.contains(balancer.zone))
            checker_.cutBegan(balancer.name, now);
    }
    std::erase_if(watched_, [&](const auto& entry) {
        const bool runs = std::any_of(running.begin(), running.end(),
            [&](const RunningBalancer& balancer) { return balancer.name == entry.first; });
        if (!runs)
            checker_.processEnded(entry.first, now);
        return !runs;
    });
}

void ConfigurationWatcher::cutBegan(std::size_t zone)
{
    cutZones_.insert(zone);
    for (const auto& [name, watched] : watched_) {
        if (watched.zone == zone)
            checker_.cutBegan(name, Clock::now());
    }
}

void ConfigurationWatcher::cutEnded(std::size_t zone)
{
    cutZones_.erase(zone);
    for (const auto& [name, watched] : watched_) {
        if (watched.zone == zone)
            checker_.cutEnded(name, Clock::now());
    }
}

void ConfigurationWatcher::pollBalancer(const RunningBalancer& balancer, WatchedBalancer& watched)
{
    const auto status = client_.get(balancer.requestAddress, "/status");
    if (!status) {
        ++failedCalls_;
        return;
    }
    ++answers_;
    const auto version = status.value().value("configuration_version", std::uint64_t(0));
    checker_.noteVersionInForce(balancer.name, version, Clock::now());
    if (version != watched.versionRead)
        readConfiguration(balancer, watched);
}

void ConfigurationWatcher::readConfiguration(const RunningBalancer& balancer, WatchedBalancer& watched)
{
    const auto page = client_.get(balancer.requestAddress, "/wisteriadock/configuration");
    if (!page) {
        ++failedCalls_;
        return;
    }
    watched.versionRead = page.value().value("version", std::uint64_t(0));
    checker_.served(watched.versionRead, page.value().value("hash", ""), contentHashOf(page.value().value("text", "")));
}

}
