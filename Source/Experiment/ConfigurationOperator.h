#pragma once

#include "Configuration/Configuration.h"
#include "Experiment/ProcessStarter.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wisteriadock {

// Simulates an operator: edits the configuration file and applies it with wisteriadock-ctl, and retries while the
// platform is unavailable. Changes made during an apply are part of the next one.
class ConfigurationOperator {
public:
    using Change = std::function<void(Configuration&)>;
    using OnAccepted = std::function<void(TimePoint)>;

    // The starter outlives this object.
    ConfigurationOperator(ProcessStarter&, Endpoint platform, Configuration first);

    // Queues a change. The callback runs when a file with this change was accepted.
    void change(
        const Change&, OnAccepted = [](TimePoint) {});

    // Starts and completes applies; must be called frequently. Fails with Unavailable when no apply succeeded for
    // longer than any outage of the schedule lasts.
    Result<void> poll();
    bool isIdle() const { return !ctl_ && queuedCallbacks_.empty(); }
    // The current file, accepted or not.
    const Configuration& configuration() const { return configuration_; }
    std::uint64_t accepted() const { return accepted_; }

private:
    Result<void> startApply();

    ProcessStarter& starter_;
    Endpoint platform_;
    Configuration configuration_;
    std::vector<OnAccepted> queuedCallbacks_;
    std::vector<OnAccepted> activeCallbacks_;
    std::unique_ptr<ChildProcess> ctl_;
    std::string lastError_;
    TimePoint nextAttempt_;
    TimePoint waitingSince_;
    std::uint64_t applies_ = 0;
    std::uint64_t accepted_ = 0;
};

}
