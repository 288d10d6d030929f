#pragma once

#include "Configuration/HeadReader.h"
#include "Core/Error.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace wisteriadock {

// Reads the value of one key of the configuration, from the platform or from another balancer. The callback runs once,
// never inside the call.
using ConfigurationFetch
    = std::function<void(const std::string& key, std::function<void(Result<std::string>)> onValue)>;

// Fetches the parts of a content as a HeadReader asks for them, one read at a time. ConfigurationFeed calls it.
class ConfigurationDownload {
public:
    // What a read led to: PutInForce, NothingNew or HeadProblem.
    using Callback = std::function<void(HeadAction)>;

    ConfigurationDownload() = default;
    ConfigurationDownload(const ConfigurationDownload&) = delete;
    ConfigurationDownload& operator=(const ConfigurationDownload&) = delete;

    bool isRunning() const { return *currentJob_ != 0; }
    // Reads the content that the head names. A read that is going on is given up, and its callback never runs.
    // The callback may run inside this call.
    void start(std::string_view head, ConfigurationFetch, Callback);

private:
    struct Job {
        std::uint64_t number = 0;
        ConfigurationFetch fetch;
        Callback onDone;
    };

    void advance(const std::shared_ptr<Job>&, HeadAction);

    HeadReader reader_;
    std::uint64_t lastJob_ = 0;
    // The number of the read that is going on, or 0. Answers hold it weakly: they may come after this object is gone.
    std::shared_ptr<std::uint64_t> currentJob_ = std::make_shared<std::uint64_t>(0);
};

}
