#pragma once

#include "Core/Error.h"
#include "Forwarder/ForwarderSettings.h"

#include <cstdint>
#include <string>

namespace wisteriadock {

// Detects that the settings file was replaced or rewritten. SettingsReloader polls it.
class SettingsFileWatcher {
public:
    // Takes the file's present state as unchanged.
    explicit SettingsFileWatcher(std::string path);

    // True once after each change of the file's inode, size or modification time.
    bool hasChanged();
    Result<ForwarderSettings> read() const { return ForwarderSettings::load(path_); }

private:
    struct FileState {
        std::uint64_t inode = 0;
        std::int64_t size = -1;
        std::int64_t modifiedNanoseconds = 0;

        bool operator==(const FileState&) const = default;
    };

    FileState currentState() const;

    std::string path_;
    FileState lastState_;
};

}
