#pragma once

#include "Core/EventLog.h"
#include "Forwarder/ForwarderSettings.h"
#include "Forwarder/SettingsFileWatcher.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace wisteriadock {

// Applies changes of the settings file while the process runs: the log's level and budget, and the seeds. Forwarder
// calls it at SIGHUP and regularly. An invalid file changes nothing. Changed settings that need a restart are logged
// only.
class SettingsReloader {
public:
    using OnSeeds = std::function<void(const std::vector<Endpoint>&, TimePoint)>;

    // The settings are those in force. They are updated in place and must outlive this object.
    SettingsReloader(ForwarderSettings&, std::string path, EventLog&, OnSeeds);

    // Reloads the file if it has changed, so that operators need not send SIGHUP. Checks every checkInterval.
    void tick(TimePoint now);
    // Reloads the file. The cause is logged.
    void reload(const char* cause, TimePoint now);

private:
    static constexpr std::chrono::seconds checkInterval { 2 };

    ForwarderSettings& settings_;
    SettingsFileWatcher watcher_;
    EventLog& log_;
    OnSeeds onSeeds_;
    TimePoint lastCheck_;
};

}
