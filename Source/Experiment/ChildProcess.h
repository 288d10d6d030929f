#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadock {

// A program to start, with its arguments and the name of its log.
struct ChildCommand {
    std::string name;
    std::filesystem::path program;
    std::vector<std::string> arguments;
    // Standard error is appended to NAME.err in this directory.
    std::filesystem::path logDirectory;
};

// A child process, which is killed when this object is destroyed. Signals go to its own process id only.
class ChildProcess {
public:
    // Fails with Unavailable when the process can't be started.
    static Result<std::unique_ptr<ChildProcess>> start(boost::asio::io_context&, ChildCommand);

    // Kills the process if it still runs, and waits until it ended.
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    const std::string& name() const { return command_.name; }
    pid_t pid() const { return pid_; }

    // The address from a "listening NAME ADDRESS" line; the name may be empty or hold spaces.
    std::optional<Endpoint> listening(const std::string& name = "") const;
    // Everything that the process wrote to its standard output.
    const std::string& output() const { return output_->text; }
    // The end of what the process wrote to its standard error, at most 2000 bytes.
    std::string errorTail() const;

    // Sends a signal; ignored when the process has already ended.
    void signal(int number);
    bool running();
    // The exit code, or 128 plus the signal number; unset while the process runs.
    std::optional<int> exitCode();
    // Processor time used, in seconds; 0 after the process ended.
    double processorSeconds() const;

private:
    // The standard output. It is shared with the pending read, whose handler may run after the ChildProcess is
    // destroyed.
    struct Output {
        explicit Output(boost::asio::io_context&);
        static void read(const std::shared_ptr<Output>&);
        void parseLines();

        boost::asio::posix::stream_descriptor descriptor;
        std::string buffer;
        std::string text;
        std::size_t parsed = 0;
        std::map<std::string, Endpoint> addresses;
    };

    ChildProcess(boost::asio::io_context&, ChildCommand);

    Result<void> spawn();
    void reap(int waitOptions);

    ChildCommand command_;
    std::shared_ptr<Output> output_;
    pid_t pid_ = -1;
    std::optional<int> exitCode_;
};

}
