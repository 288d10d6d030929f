#include "StandIns/BackendStandIn.h"

#include "StandIns/BackendAdmin.h"
#include "StandIns/JsonText.h"
#include "StandIns/Program.h"

#include <chrono>
#include <utility>

namespace wisteriadock {

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(100);

}

BackendStandIn::BackendStandIn(boost::asio::io_context& context)
    : ticker_(context)
{
}

Result<std::unique_ptr<BackendStandIn>> BackendStandIn::start(
    boost::asio::io_context& context, const BackendStandInOptions& options)
{
    if (options.servers.empty())
        return Error { ErrorCode::InvalidArgument, "no backend server is specified" };
    std::unique_ptr<BackendStandIn> standIn(new BackendStandIn(context));
    for (const BackendSpec& spec : options.servers) {
        BackendFlowLimits limits = options.flowLimits;
        limits.connections = spec.connections;
        BOOST_OUTCOME_TRY(server, BackendStandInServer::start(context, spec, limits, options.replyTo));
        standIn->servers_.push_back(std::move(server));
    }
    BackendStandIn* const self = standIn.get();
    BOOST_OUTCOME_TRY(
        admin, Http2Server::listen(context, options.admin, [self](const std::shared_ptr<Http2Exchange>& exchange) {
            exchange->respond(self->handleAdmin(exchange->request()));
        }));
    standIn->admin_ = std::move(admin);
    standIn->tick();
    return standIn;
}

void BackendStandIn::printListeningLines() const
{
    for (const auto& server : servers_) {
        printListening("flow " + server->spec().name, server->flowAddress());
        printListening("request " + server->spec().name, server->requestAddress());
    }
    printListening("admin", adminAddress());
}

void BackendStandIn::printFinalCounts() const
{
    BackendFlowCounts flows;
    BackendRequestCounts requests;
    std::uint64_t malformed = 0;
    for (const auto& server : servers_) {
        flows.packets += server->flows().counts().packets;
        flows.newFlows += server->flows().counts().newFlows;
        flows.unknownFlowPackets += server->flows().counts().unknownFlowPackets;
        flows.wrongServicePackets += server->flows().counts().wrongServicePackets;
        flows.refusedFlows += server->flows().counts().refusedFlows;
        requests.runs += server->requests().counts().runs;
        requests.completed += server->requests().counts().completed;
        requests.cancelled += server->requests().counts().cancelled;
        requests.shed += server->requests().counts().shed;
        malformed += server->malformedDatagrams();
    }
    printCount("packets", flows.packets);
    printCount("new_flows", flows.newFlows);
    printCount("unknown_flow_packets", flows.unknownFlowPackets);
    printCount("wrong_service_packets", flows.wrongServicePackets);
    printCount("refused_flows", flows.refusedFlows);
    printCount("malformed_datagrams", malformed);
    printCount("runs", requests.runs);
    printCount("runs_completed", requests.completed);
    printCount("runs_cancelled", requests.cancelled);
    printCount("requests_shed", requests.shed);
}

void BackendStandIn::tick()
{
    for (const auto& server : servers_)
        server->tick(Clock::now());
    ticker_.expires_after(tickInterval);
    ticker_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

HttpResponse BackendStandIn::handleAdmin(const HttpRequest& request)
{
    if (request.method == "POST" && request.path == "/set")
        return answerTo(changeBackends(servers_, request.body));
    if (request.method == "GET" && request.path.starts_with("/records"))
        return jsonAnswer(recordsOf(servers_, request.path, Clock::now()));
    return notFoundAnswer();
}

}
