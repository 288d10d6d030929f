#include "Forwarder/SettingsFileWatcher.h"

#include <sys/stat.h>
#include <utility>

namespace wisteriadock {

SettingsFileWatcher::SettingsFileWatcher(std::string path)
    : path_(std::move(path))
    , lastState_(currentState())
{
}

bool SettingsFileWatcher::hasChanged()
{
    const FileState now = currentState();
    // A file that is being replaced may be missing for a moment.
    if (now == lastState_ || now.size < 0)
        return false;
    lastState_ = now;
    return true;
}

SettingsFileWatcher::FileState SettingsFileWatcher::currentState() const
{
    struct stat found { };
    if (::stat(path_.c_str(), &found) != 0)
        return {};
    constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
    return { found.st_ino, found.st_size, found.st_mtim.tv_sec * nanosecondsPerSecond + found.st_mtim.tv_nsec };
}

}
