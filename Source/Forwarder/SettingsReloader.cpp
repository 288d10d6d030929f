#include "Forwarder/SettingsReloader.h"

#include <utility>

namespace wisteriadock {

SettingsReloader::SettingsReloader(ForwarderSettings& settings, std::string path, EventLog& log, OnSeeds onSeeds)
    : settings_(settings)
    , watcher_(std::move(path))
    , log_(log)
    , onSeeds_(std::move(onSeeds))
    , lastCheck_(Clock::now())
{
}

void SettingsReloader::tick(TimePoint now)
{
    if (now - lastCheck_ < checkInterval)
        return;
    lastCheck_ = now;
    if (watcher_.hasChanged())
        reload("file", now);
}

void SettingsReloader::reload(const char* cause, TimePoint now)
{
    const auto loaded = watcher_.read();
    if (!loaded) {
        log_.write(LogLevel::Error, "settings", "refused",
            Event().add("cause", cause).add("error", loaded.error().toString()), now);
        return;
    }
    std::string pending;
    for (const std::string& name : settings_.differencesThatNeedRestart(loaded.value()))
        pending += (pending.empty() ? "" : ",") + name;
    const bool haveSeedsChanged = loaded.value().seeds != settings_.seeds;
    log_.write(LogLevel::Info, "settings", "reloaded",
        Event()
            .add("cause", cause)
            .add("seeds_changed", haveSeedsChanged)
            .add("log_changed",
                loaded.value().logLevel != settings_.logLevel || loaded.value().logBudget != settings_.logBudget)
            .add("needs_restart", pending),
        now);
    settings_.logLevel = loaded.value().logLevel;
    settings_.logBudget = loaded.value().logBudget;
    log_.setLevel(settings_.logLevel);
    log_.setBudget(settings_.logBudget);
    if (haveSeedsChanged) {
        settings_.seeds = loaded.value().seeds;
        onSeeds_(settings_.seeds, now);
    }
}

}
