#pragma once

#include "Experiment/ChildProcess.h"
#include "Experiment/EventLoop.h"
#include "Experiment/RunDirectory.h"

#include <memory>
#include <string>
#include <vector>

namespace wisteriadock {

// Starts the programs that stand beside the experiment's own.
class ProcessStarter {
public:
    ProcessStarter(EventLoop& loop, const RunDirectory& directory)
        : loop_(loop)
        , directory_(directory)
    {
    }

    Result<std::unique_ptr<ChildProcess>> start(
        const std::string& name, const std::string& program, std::vector<std::string> arguments);

    // Also waits until the process has said where it listens under all these names. Fails with Unavailable, the end of
    // its log in the detail, when it ends before that.
    Result<std::unique_ptr<ChildProcess>> startListening(const std::string& name, const std::string& program,
        std::vector<std::string> arguments, const std::vector<std::string>& listening);

    EventLoop& loop() { return loop_; }
    const RunDirectory& directory() const { return directory_; }

private:
    EventLoop& loop_;
    const RunDirectory& directory_;
};

}
