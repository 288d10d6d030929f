#include "Core/ListenAddress.h"
#include "StandIns/Platform/PlatformStandIn.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IPv4 address and port to listen on; port 0 selects an ephemeral port");

namespace {

using namespace wisteriadock;

constexpr int exitCannotRun = 2;

void configureFlags()
{
    absl::SetProgramUsageMessage("Simulates the platform's key-value service in tests and experiments.");
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string("wisteriadock-standin-platform " WISTERIADOCK_VERSION "\n"); };
    config.contains_help_flags = [](auto file) { return file.find("PlatformStandInMain") != file.npos; };
    config.contains_helpshort_flags = config.contains_help_flags;
    absl::SetFlagsUsageConfig(config);
}

int fail(const Error& error)
{
    fmt::print(stderr, "wisteriadock-standin-platform: {}\n", error.toString());
    return exitCannotRun;
}

}

int main(int argc, char** argv)
{
    configureFlags();
    absl::ParseCommandLine(argc, argv);
    const auto address = parseListenAddress(absl::GetFlag(FLAGS_listen));
    if (!address)
        return fail(address.error());

    boost::asio::io_context context;
    const auto standIn = PlatformStandIn::listen(context, address.value());
    if (!standIn)
        return fail(standIn.error());

    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    fmt::print("listening {}\n", standIn.value()->address().toString());
    std::fflush(stdout);
    context.run();
    return 0;
}
