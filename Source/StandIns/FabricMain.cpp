#include "Core/ListenAddress.h"
#include "StandIns/FabricStandIn.h"
#include "StandIns/FlagText.h"
#include "StandIns/Program.h"

#include <absl/flags/flag.h>

#include <cstdint>
#include <string>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address that receives the callers' datagrams");
ABSL_FLAG(std::string, admin, "127.0.0.1:0", "Address of the admin interface (HTTP/2)");
ABSL_FLAG(std::vector<std::string>, balancers, {}, "Flow addresses of the balancers; POST /balancers replaces them");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the random choice of balancers");

namespace {

using namespace wisteriadock;

Result<FabricStandInOptions> readOptions()
{
    FabricStandInOptions options;
    options.seed = absl::GetFlag(FLAGS_seed);
    BOOST_OUTCOME_TRY(listen, parseListenAddress(absl::GetFlag(FLAGS_listen)));
    options.listen = listen;
    BOOST_OUTCOME_TRY(admin, parseListenAddress(absl::GetFlag(FLAGS_admin)));
    options.admin = admin;
    for (const std::string& text : absl::GetFlag(FLAGS_balancers)) {
        BOOST_OUTCOME_TRY(address, Endpoint::parse(text));
        options.balancers.push_back({ address, 1, 0 });
    }
    return options;
}

}

int main(int argc, char** argv)
{
    parseProgramFlags(
        argc, argv, "Simulates the network fabric: forwards each datagram to a randomly chosen balancer.");
    const auto options = readOptions();
    if (!options)
        return reportStartFailure(options.error());
    boost::asio::io_context context;
    const auto fabric = FabricStandIn::start(context, options.value());
    if (!fabric)
        return reportStartFailure(fabric.error());
    fabric.value()->printListeningLines();
    runUntilStopped(context);
    fabric.value()->printFinalCounts();
    return 0;
}
