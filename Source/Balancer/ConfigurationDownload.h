#pragma once

#include "Configuration/HeadReader.h"
#include "Core/Error.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace wisteriadock {

// Fetches the value of one configuration key from the platform or from another balancer. The callback runs once, after
// the call has returned.
using ConfigurationFetch
    = std::function<void(const std::string& key, std::function<void(Result<std::string>)> onValue)>;

// Downloads the parts of a configuration version that a HeadReader requests, one version at a time. ConfigurationFeed
// calls it.
class ConfigurationDownload {
public:
    // Receives the result of a download: PutInForce, NothingNew or HeadProblem.
    using Callback = std::function<void(HeadAction)>;

    ConfigurationDownload() = default;
    ConfigurationDownload(const ConfigurationDownload&) = delete;
    ConfigurationDownload& operator=(const ConfigurationDownload&) = delete;

    bool isRunning() const { return *currentJob_ != 0; }
    // Downloads the content that the head names. A download that is still running is abandoned and its callback never
    // runs. The new callback may run inside this call.
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
    // The number of the running job, or 0. Fetch callbacks hold it weakly: they may run after this object is destroyed.
    std::shared_ptr<std::uint64_t> currentJob_ = std::make_shared<std::uint64_t>(0);
};

}
