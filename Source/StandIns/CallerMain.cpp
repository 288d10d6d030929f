#include "Core/ListenAddress.h"
#include "StandIns/CallerStandIn.h"
#include "StandIns/FlagText.h"
#include "StandIns/Program.h"

#include <absl/flags/flag.h>

#include <cstdint>
#include <string>
#include <vector>

ABSL_FLAG(std::string, fabric, "", "Address of the fabric; without it there are no flows");
ABSL_FLAG(std::string, reply_listen, "127.0.0.1:0", "Address that takes the backend servers' replies");
ABSL_FLAG(std::vector<std::string>, services, {}, "Services to call: NAME@ADDRESS@SHARE,...");
ABSL_FLAG(
    std::vector<std::string>, balancers, {}, "Request addresses of the balancers; without them there are no requests");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the random numbers");
ABSL_FLAG(double, seconds, 10, "Duration of the run");
ABSL_FLAG(double, flows_per_second, 100, "Flows opened per second");
ABSL_FLAG(double, shortest_flow_seconds, 1, "Shortest lifetime of a flow");
ABSL_FLAG(double, lifetime_exponent, 1.2, "Pareto exponent of the lifetimes; smaller makes the tail heavier");
ABSL_FLAG(double, lasting_share, 0.05, "Share of the flows that last the whole run");
ABSL_FLAG(double, packet_interval_milliseconds, 100, "Mean time between two packets of a flow");
ABSL_FLAG(double, jitter, 0.5, "Relative variation of the packet interval, 0 to 1");
ABSL_FLAG(double, idle_share, 0.1, "Share of the flows that pause between bursts");
ABSL_FLAG(double, idle_seconds, 2, "Duration of these pauses");
ABSL_FLAG(double, start_marks, 0, "Share of the flows whose first packet is marked");
ABSL_FLAG(std::uint32_t, stalled_after, 8, "Consecutive unanswered packets after which a flow counts as stalled");
ABSL_FLAG(double, requests_per_second, 0, "Requests sent per second");
ABSL_FLAG(double, shortest_work_milliseconds, 5, "Shortest simulated work of a request");
ABSL_FLAG(double, longest_work_milliseconds, 50, "Longest simulated work of a request");
ABSL_FLAG(double, deadline_milliseconds, 2000, "Deadline of a request");
ABSL_FLAG(std::uint32_t, answer_bytes, 4096, "Largest answer that is requested");
ABSL_FLAG(std::uint32_t, request_retries, 0, "Retries of a request, each at another balancer");
ABSL_FLAG(double, cancel_share, 0, "Share of the attempts that are cancelled after half their work time");
ABSL_FLAG(std::string, record_file, "", "JSON file for the broken flows and the ended requests");

namespace {

using namespace wisteriadock;

Duration secondsOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Duration millisecondsOf(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

CallerFlowOptions readFlowOptions(const std::vector<CallerService>& services)
{
    CallerFlowOptions options;
    options.seed = absl::GetFlag(FLAGS_seed);
    options.services = services;
    options.flowsPerSecond = absl::GetFlag(FLAGS_fabric).empty() ? 0 : absl::GetFlag(FLAGS_flows_per_second);
    options.runTime = secondsOf(absl::GetFlag(FLAGS_seconds));
    options.minLifetime = secondsOf(absl::GetFlag(FLAGS_shortest_flow_seconds));
    options.lifetimeExponent = absl::GetFlag(FLAGS_lifetime_exponent);
    options.longLivedShare = absl::GetFlag(FLAGS_lasting_share);
    options.packetInterval = millisecondsOf(absl::GetFlag(FLAGS_packet_interval_milliseconds));
    options.jitter = absl::GetFlag(FLAGS_jitter);
    options.idleShare = absl::GetFlag(FLAGS_idle_share);
    options.idleTime = secondsOf(absl::GetFlag(FLAGS_idle_seconds));
    options.startMarkShare = absl::GetFlag(FLAGS_start_marks);
    options.maxUnansweredPackets = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_stalled_after));
    return options;
}

CallerRequestOptions readRequestOptions(const std::vector<CallerService>& services, std::size_t balancers)
{
    CallerRequestOptions options;
    options.seed = absl::GetFlag(FLAGS_seed);
    options.services = services;
    options.balancers = balancers;
    options.requestsPerSecond = balancers == 0 ? 0 : absl::GetFlag(FLAGS_requests_per_second);
    options.runTime = secondsOf(absl::GetFlag(FLAGS_seconds));
    options.minWork = millisecondsOf(absl::GetFlag(FLAGS_shortest_work_milliseconds));
    options.maxWork = millisecondsOf(absl::GetFlag(FLAGS_longest_work_milliseconds));
    options.deadline = millisecondsOf(absl::GetFlag(FLAGS_deadline_milliseconds));
    options.maxAnswerBytes = absl::GetFlag(FLAGS_answer_bytes);
    options.retries = absl::GetFlag(FLAGS_request_retries);
    options.cancelShare = absl::GetFlag(FLAGS_cancel_share);
    return options;
}

Result<CallerStandInOptions> readOptions()
{
    std::vector<CallerService> services;
    for (const std::string& text : absl::GetFlag(FLAGS_services)) {
        BOOST_OUTCOME_TRY(service, CallerService::parse(text));
        services.push_back(service);
    }
    CallerStandInOptions options;
    for (const std::string& text : absl::GetFlag(FLAGS_balancers)) {
        BOOST_OUTCOME_TRY(balancer, Endpoint::parse(text));
        options.balancers.push_back(balancer);
    }
    if (const std::string text = absl::GetFlag(FLAGS_fabric); !text.empty()) {
        BOOST_OUTCOME_TRY(fabric, Endpoint::parse(text));
        options.fabric = fabric;
    }
    BOOST_OUTCOME_TRY(replyListen, parseListenAddress(absl::GetFlag(FLAGS_reply_listen)));
    options.replyListen = replyListen;
    options.flows = readFlowOptions(services);
    options.requests = readRequestOptions(services, options.balancers.size());
    options.recordFile = absl::GetFlag(FLAGS_record_file);
    return options;
}

}

int main(int argc, char** argv)
{
    parseProgramFlags(
        argc, argv, "Simulates the customers: sends flow packets and requests, and checks the replies and answers.");
    const auto options = readOptions();
    if (!options)
        return reportStartFailure(options.error());
    boost::asio::io_context context;
    const auto caller = CallerStandIn::start(context, options.value());
    if (!caller)
        return reportStartFailure(caller.error());
    caller.value()->printListeningLines();
    runUntilStopped(context);
    caller.value()->printFinalCounts();
    const auto written = caller.value()->writeRecords();
    return written ? 0 : reportStartFailure(written.error());
}
