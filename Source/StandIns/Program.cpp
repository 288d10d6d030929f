#include "StandIns/Program.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>

namespace wisteriadock {

namespace {

    constexpr int startFailure = 2;

    bool isProgramFile(absl::string_view file) { return file.find("StandIns/") != absl::string_view::npos; }

}

void parseProgramFlags(int argc, char** argv, const std::string& usage)
{
    absl::FlagsUsageConfig config;
    config.contains_helpshort_flags = isProgramFile;
    config.contains_help_flags = isProgramFile;
    config.version_string = [] { return std::string("wisteriadock " WISTERIADOCK_VERSION "\n"); };
    absl::SetFlagsUsageConfig(config);
    absl::SetProgramUsageMessage(usage);
    absl::ParseCommandLine(argc, argv);
}

void printListening(std::string_view what, const Endpoint& address)
{
    fmt::print("listening {} {}\n", what, address.toString());
    std::fflush(stdout);
}

void printNameAndValue(std::string_view name, const std::string& value) { fmt::print("{} {}\n", name, value); }

int reportStartFailure(const Error& error)
{
    fmt::print(stderr, "{}\n", error.toString());
    return startFailure;
}

void runUntilStopped(boost::asio::io_context& context)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code& error, int) {
        if (!error)
            context.stop();
    });
    context.run();
}

}
