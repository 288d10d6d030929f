#include "Ctl/CtlProgram.h"

#include "Ctl/CtlCommands.h"
#include "Ctl/StatusReader.h"
#include "Ctl/StatusReport.h"
#include "KeyValue/PlatformClient.h"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <memory>
#include <optional>
#include <random>
#include <utility>

namespace wisteriadock {

namespace {

    // Different for every run, so that two applies are never taken for one.
    std::string randomApplyId()
    {
        std::random_device random;
        return fmt::format("ctl-{:08x}{:08x}", random(), random());
    }

    // One run of the program.
    class CtlRun {
    public:
        explicit CtlRun(CtlOptions options)
            : options_(std::move(options))
            , runtime_(context_)
            , statuses_(context_)
        {
            // Sockets only look for their answers while the context runs; unset, every platform call would be refused.
            if (options_.platform)
                platform_ = std::make_unique<PlatformClient>(context_, *options_.platform);
        }

        CtlResult run()
        {
            start();
            // Commands end by their deadline, and pending timers must not keep the process waiting after that.
            while (!result_ && context_.run_one() != 0) { }
            return result_ ? std::move(*result_)
                           : resultOf(Error { ErrorCode::Unknown, "the command ended without a result" });
        }

    private:
        using Commands = CtlCommands<PlatformClient, AsioRuntime>;

        void start()
        {
            switch (options_.command) {
            case CtlCommand::Check:
                finish(checkFile(options_.argument));
                return;
            case CtlCommand::Diff:
                commands().diff(finisher());
                return;
            case CtlCommand::Get:
                commands().get(finisher());
                return;
            case CtlCommand::Status:
                startStatus();
                return;
            case CtlCommand::Apply:
            case CtlCommand::Drain:
            case CtlCommand::Undrain:
                startAboveBalancers();
                return;
            }
        }

        // With --balancers given, a new version is above all that they run, also after the platform was restored from
        // an older copy. Balancers that are not reached don't hold an apply up.
        void startAboveBalancers()
        {
            statuses_.read(options_.balancers, statusDeadline(), [this](const std::vector<StatusProbe>& probes) {
                options_.aboveVersion = std::max(options_.aboveVersion, highestVersionInForce(probes));
                startChange();
            });
        }

        void startChange()
        {
            if (options_.command == CtlCommand::Apply)
                commands().apply(finisher());
            else
                commands().setState(
                    options_.command == CtlCommand::Drain ? BackendServerState::Draining : BackendServerState::Active,
                    finisher());
        }

        void startStatus()
        {
            statuses_.read(options_.balancers, statusDeadline(), [this](std::vector<StatusProbe> probes) {
                if (!platform_) {
                    finish(reportStatus(Error { ErrorCode::Unavailable, "--platform is not given" }, probes));
                    return;
                }
                commands().newestVersion([this, probes = std::move(probes)](const Result<std::uint64_t>& newest) {
                    finish(reportStatus(newest, probes));
                });
            });
        }

        // Leaves the platform its share of the time when a balancer does not answer.
        TimePoint statusDeadline() const { return runtime_.now() + options_.timeLimit / 3; }

        Commands commands() { return Commands(*platform_, runtime_, options_); }

        Commands::Callback finisher()
        {
            return [this](CtlResult result) { finish(std::move(result)); };
        }

        void finish(CtlResult result) { result_ = std::move(result); }

        CtlOptions options_;
        boost::asio::io_context context_;
        AsioRuntime runtime_;
        StatusReader statuses_;
        std::unique_ptr<PlatformClient> platform_;
        std::optional<CtlResult> result_;
    };

}

int runCtl(const std::vector<std::string>& words, const CtlFlags& flags)
{
    // A platform that closes the connection must not end the process; the write fails instead.
    std::signal(SIGPIPE, SIG_IGN);
    auto options = parseCtlOptions(words, flags);
    if (!options) {
        fmt::print(stderr, "wisteriadock-ctl: {}\nSee wisteriadock-ctl --help.\n", options.error().detail);
        return static_cast<int>(CtlExit::Usage);
    }
    if (options.value().applyId.empty())
        options.value().applyId = randomApplyId();
    const OutputFormat format = options.value().format;
    const CtlResult result = CtlRun(std::move(options).value()).run();
    fmt::print("{}\n", result.render(format));
    return static_cast<int>(result.exit);
}

}
