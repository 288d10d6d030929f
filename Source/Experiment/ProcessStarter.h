#pragma once

#include "Experiment/ChildProcess.h"
#include "Experiment/EventLoop.h"
#include "Experiment/RunDirectory.h"

#include <memory>
#include <string>
#include <vector>

namespace wisteriadock {

// Starts programs from the directory of the experiment's own executable.
class ProcessStarter {
public:
    ProcessStarter(EventLoop& loop, const RunDirectory& directory)
        : loop_(loop)
        , directory_(directory)
    {
    }

    Result<std::unique_ptr<ChildProcess>> start(
        const std::string& name, const std::string& program, std::vector<std::string> arguments);

    // Also waits until the process has printed a listening address for each of these names. Fails with Unavailable,
    // with the end of its log as detail, when the process ends before that.
    Result<std::unique_ptr<ChildProcess>> startListening(const std::string& name, const std::string& program,
        std::vector<std::string> arguments, const std::vector<std::string>& listening);

    EventLoop& loop() { return loop_; }
    const RunDirectory& directory() const { return directory_; }

private:
    EventLoop& loop_;
    const RunDirectory& directory_;
};

}
