#include "Balancer/BalancerProgram.h"

#include "Balancer/BalancerDaemon.h"
#include "Balancer/BalancerSettings.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>

namespace wisteriadock {

namespace {

    int fail(BalancerExit code, const std::string& message)
    {
        fmt::print(stderr, "wisteriadock-balancer: {}\n", message);
        return static_cast<int>(code);
    }

    Result<BalancerSettings> load(const std::string& path)
    {
        if (path.empty())
            return Error { ErrorCode::InvalidArgument, "--settings FILE is missing" };
        return BalancerSettings::load(path);
    }

    // The parent process waits for these lines to learn ephemeral ports.
    void printAddresses(const BalancerAddresses& addresses)
    {
        fmt::print("listening flow {}\n", addresses.flow.toString());
        fmt::print("listening peer {}\n", addresses.peer.toString());
        fmt::print("listening request {}\n", addresses.request.toString());
        fmt::print("listening metrics {}\n", addresses.metrics.toString());
        std::fflush(stdout);
    }

}

int checkBalancerSettings(const std::string& path)
{
    const auto settings = load(path);
    if (!settings)
        return fail(BalancerExit::BadSettings, settings.error().detail);
    return static_cast<int>(BalancerExit::Done);
}

int runBalancer(const std::string& path)
{
    // Ignored so that writing to a closed connection fails instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    const auto settings = load(path);
    if (!settings)
        return fail(BalancerExit::BadSettings, settings.error().detail);
    configureLog(settings.value().logLevel);

    const auto daemon = BalancerDaemon::start(settings.value(), path);
    if (!daemon)
        return fail(BalancerExit::CannotStart, daemon.error().detail);
    printAddresses(daemon.value()->addresses());
    daemon.value()->run();
    return static_cast<int>(BalancerExit::Done);
}

}
