#pragma once

#include "Core/Error.h"
#include "Forwarder/ForwarderSettings.h"

#include <cstdint>
#include <string>

namespace wisteriadock {

// Notices that the settings file was replaced or rewritten, for programs that may not be told.
class SettingsFileWatcher {
public:
    // Remembers the file as it is now.
    explicit SettingsFileWatcher(std::string path);

    // True once after each change, as far as the file's identity, size and time show it.
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
