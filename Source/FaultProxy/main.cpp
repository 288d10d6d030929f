#include "Core/ListenAddress.h"
#include "Core/Log.h"
#include "FaultProxy/FaultProxyAdmin.h"
#include "Net/Http2Server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>

ABSL_FLAG(
    std::string, admin, "127.0.0.1:0", "Address of the HTTP/2 admin interface; port 0 selects an ephemeral port.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the random faults.");

namespace wisteriadock {
namespace {

    int run()
    {
        configureLog(LogLevel::Info);
        const Log log("fault-proxy");
        boost::asio::io_context context;
        FaultProxy proxy(context, absl::GetFlag(FLAGS_seed));
        FaultProxyAdmin admin(proxy);

        const auto listen = parseListenAddress(absl::GetFlag(FLAGS_admin));
        if (!listen) {
            log.error("--admin: " + listen.error().toString());
            return 2;
        }
        const auto server
            = Http2Server::listen(context, listen.value(), [&](const std::shared_ptr<Http2Exchange>& exchange) {
                  exchange->respond(admin.answer(exchange->request()));
              });
        if (!server) {
            log.error(server.error().toString());
            return 2;
        }
        fmt::print("listening admin {}\n", server.value()->address().toString());
        std::fflush(stdout);

        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
        context.run();
        return 0;
    }

}
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Forwards TCP and UDP links between processes and injects faults into them.");
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string("wisteriadock-fault-proxy " WISTERIADOCK_VERSION "\n"); };
    config.contains_help_flags = [](auto file) { return file.find("FaultProxy/main.cpp") != file.npos; };
    config.contains_helpshort_flags = config.contains_help_flags;
    absl::SetFlagsUsageConfig(config);
    absl::ParseCommandLine(argc, argv);
    return wisteriadock::run();
}
