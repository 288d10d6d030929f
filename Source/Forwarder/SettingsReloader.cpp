#include "Forwarder/SettingsReloader.h"

#include <utility>

namespace wisteriadock {

SettingsReloader::SettingsReloader(ForwarderSettings& settings, std::string path, EventLog& log, OnSeeds onSeeds)
    : settings_(settings)
    , watch_(std::move(path))
    , log_(log)
    , onSeeds_(std::move(onSeeds))
    , lastCheck_(Clock::now())
{
}

void SettingsReloader::tick(TimePoint now)
{
    if (now - lastCheck_ < checkPeriod)
        return;
    lastCheck_ = now;
    if (watch_.hasChanged())
        reload("file", now);
}

void SettingsReloader::reload(const char* cause, TimePoint now)
{
    const auto fresh = watch_.read();
    if (!fresh) {
        log_.write(LogLevel::Error, "settings", "refused",
            Event().add("cause", cause).add("error", fresh.error().toString()), now);
        return;
    }
    std::string waiting;
    for (const std::string& name : settings_.differencesThatNeedRestart(fresh.value()))
        waiting += (waiting.empty() ? "" : ",") + name;
    const bool haveSeedsChanged = fresh.value().seeds != settings_.seeds;
    log_.write(LogLevel::Info, "settings", "reloaded",
        Event()
            .add("cause", cause)
            .add("seeds_changed", haveSeedsChanged)
            .add("log_changed",
                fresh.value().logLevel != settings_.logLevel || fresh.value().logBudget != settings_.logBudget)
            .add("needs_restart", waiting),
        now);
    settings_.logLevel = fresh.value().logLevel;
    settings_.logBudget = fresh.value().logBudget;
    log_.setLevel(settings_.logLevel);
    log_.setBudget(settings_.logBudget);
    if (haveSeedsChanged) {
        settings_.seeds = fresh.value().seeds;
        onSeeds_(settings_.seeds, now);
    }
}

}
