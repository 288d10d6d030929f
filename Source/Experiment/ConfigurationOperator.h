#pragma once

#include "Configuration/Configuration.h"
#include "Experiment/ProcessStarter.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wisteriadock {

// Plays the operator: changes the configuration file and applies it as a whole with wisteriadock-ctl, again and again
// while the platform is out. Changes that come while an apply is under way go into the next one.
class ConfigurationOperator {
public:
    using Change = std::function<void(Configuration&)>;
    using OnAccepted = std::function<void(TimePoint)>;

    // The starter outlives this object.
    ConfigurationOperator(ProcessStarter&, Endpoint platform, Configuration first);

    // The callback runs when the file with this change was accepted.
    void change(
        const Change&, OnAccepted = [](TimePoint) {});

    // Goes on with what is under way; call it often. Fails when a file was refused for so long that no outage explains
    // it.
    Result<void> poll();
    bool isIdle() const { return !ctl_ && waiting_.empty(); }
    // The file as it stands, accepted or not.
    const Configuration& configuration() const { return configuration_; }
    std::uint64_t accepted() const { return accepted_; }

private:
    Result<void> startApply();

    ProcessStarter& starter_;
    Endpoint platform_;
    Configuration configuration_;
    std::vector<OnAccepted> waiting_;
    std::vector<OnAccepted> applying_;
    std::unique_ptr<ChildProcess> ctl_;
    std::string lastProblem_;
    TimePoint nextAttempt_;
    TimePoint waitingSince_;
    std::uint64_t applies_ = 0;
    std::uint64_t accepted_ = 0;
};

}
