#include "Core/ListenAddress.h"
#include "StandIns/BackendStandIn.h"
#include "StandIns/FlagText.h"
#include "StandIns/Program.h"

#include <absl/flags/flag.h>

#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, servers, {},
    "Backend servers to simulate: NAME@SERVICE@FLOWADDRESS@REQUESTADDRESS@SLOTS@CONNECTIONS,...");
ABSL_FLAG(std::string, admin, "127.0.0.1:0", "Address of the admin interface (HTTP/2)");
ABSL_FLAG(std::string, reply_to, "", "Address to which replies to flow packets are sent; POST /set can change it");
ABSL_FLAG(double, flow_idle_seconds, 300, "Idle time after which a server removes a flow");

namespace {

using namespace wisteriadock;

Result<BackendStandInOptions> readOptions()
{
    BackendStandInOptions options;
    for (const std::string& text : absl::GetFlag(FLAGS_servers)) {
        BOOST_OUTCOME_TRY(spec, BackendSpec::parse(text));
        options.servers.push_back(spec);
    }
    BOOST_OUTCOME_TRY(admin, parseListenAddress(absl::GetFlag(FLAGS_admin)));
    options.admin = admin;
    if (const std::string text = absl::GetFlag(FLAGS_reply_to); !text.empty()) {
        BOOST_OUTCOME_TRY(replyTo, Endpoint::parse(text));
        options.replyTo = replyTo;
    }
    options.flowLimits.idleTimeout = std::chrono::milliseconds(int64_t(absl::GetFlag(FLAGS_flow_idle_seconds) * 1000));
    return options;
}

}

int main(int argc, char** argv)
{
    parseProgramFlags(argc, argv, "Simulates backend servers: answers flow packets and HTTP/2 requests.");
    const auto options = readOptions();
    if (!options)
        return reportStartFailure(options.error());
    boost::asio::io_context context;
    const auto standIn = BackendStandIn::start(context, options.value());
    if (!standIn)
        return reportStartFailure(standIn.error());
    standIn.value()->printListeningLines();
    runUntilStopped(context);
    standIn.value()->printFinalCounts();
    return 0;
}
