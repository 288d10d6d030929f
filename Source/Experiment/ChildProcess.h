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

// What to start, and under which name its log stands.
struct ChildCommand {
    std::string name;
    std::filesystem::path program;
    std::vector<std::string> arguments;
    // Takes NAME.err.
    std::filesystem::path logDirectory;
};

// One process that this experiment started. It is only ever addressed by its own pid, and ends with this object.
class ChildProcess {
public:
    // Fails with Unavailable when the process can't be started.
    static Result<std::unique_ptr<ChildProcess>> start(boost::asio::io_context&, ChildCommand);

    // Kills what still runs and waits for it.
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    const std::string& name() const { return command_.name; }
    pid_t pid() const { return pid_; }

    // The address from a "listening NAME ADDRESS" line; the name may be empty or hold spaces.
    std::optional<Endpoint> listening(const std::string& name = "") const;
    // Everything that the process wrote to its standard output.
    const std::string& output() const { return output_->text; }
    // The last lines of what it wrote to its standard error.
    std::string errorTail() const;

    // Ignored when the process ended already.
    void signal(int number);
    bool running();
    // How the process ended: its exit code, or 128 and the signal; unset while it runs.
    std::optional<int> exitCode();
    // Seconds of processor time that it has used; 0 when it ended.
    double processorSeconds() const;

private:
    // The standard output, shared with the read in progress: that one may have ended, and wait for its turn, when the
    // ChildProcess is destroyed.
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
