#pragma once

#include "Core/EventLog.h"
#include "Forwarder/ForwarderSettings.h"
#include "Forwarder/SettingsFileWatcher.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace wisteriadock {

// Takes changed settings into force while the process runs: the log's level and budget and the seeds. A file that can't
// be read whole changes nothing; what needs a restart is named in the log and waits for it.
class SettingsReloader {
public:
    using OnSeeds = std::function<void(const std::vector<Endpoint>&, TimePoint)>;

    // The settings stay with the caller, and are those in force.
    SettingsReloader(ForwarderSettings&, std::string path, EventLog&, OnSeeds);

    // Looks now and then whether the file has changed, for programs that may not be told.
    void tick(TimePoint now);
    // Reads the file. The cause is for the log.
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
