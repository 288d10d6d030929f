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

    // Random, so that two runs of ctl are not mistaken for the same apply.
    std::string randomApplyId()
    {
        std::random_device random;
        return fmt::format("ctl-{:08x}{:08x}", random(), random());
    }

    // Owns the event loop, the platform client and the status reader while one command runs.
    class CtlRun {
    public:
        explicit CtlRun(CtlOptions options)
            : options_(std::move(options))
            , runtime_(context_)
            , statuses_(context_)
        {
            // Stays null without --platform; only "check" and "status" run without it.
            if (options_.platform)
                platform_ = std::make_unique<PlatformClient>(context_, *options_.platform);
        }

        CtlResult run()
        {
            start();
            // Stops at the first result, so that pending timers do not delay the exit.
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

        // With --balancers, the new version is numbered above every version that those balancers run, because balancers
        // ignore lower versions after the platform was restored from an older copy. Unreachable balancers do not block
        // the apply.
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

        // Leaves time for the platform calls when a balancer does not respond.
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
    // A write to a connection that the platform has closed then fails and does not end the process.
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
