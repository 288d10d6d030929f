#include "Experiment/BackendFleet.h"

#include <fmt/format.h>

namespace wisteriadock {

namespace {

    using Json = nlohmann::json;

    const BackendServer defaults;

    ServerRecord recordOf(const Json& server)
    {
        ServerRecord record;
        record.liveFlows = server.value("live_flows", std::uint64_t(0));
        record.newFlows = server.value("new_flow_count", std::uint64_t(0));
        record.unknownFlowPackets = server.value("unknown_flow_count", std::uint64_t(0));
        record.wrongServicePackets = server.value("wrong_service_count", std::uint64_t(0));
        record.droppedRecords = server.value("dropped_flow_records", std::uint64_t(0));
        // Each row holds the flow's number and the time in milliseconds of the monotonic clock, which all processes
        // share.
        const Json newFlows = server.value("new_flows", Json::array());
        for (const Json& flow : newFlows)
            record.newFlowTimes.emplace_back(std::chrono::milliseconds(flow.at(1).get<std::int64_t>()));
        return record;
    }

}

Result<std::unique_ptr<BackendFleet>> BackendFleet::start(
    ProcessStarter& starter, AdminClient& client, const FleetPlan& plan)
{
    std::string servers;
    std::vector<std::string> listening { "admin" };
    for (const PlannedServer& server : plan.servers) {
        servers += fmt::format("{}{}@{}@127.0.0.1:0@127.0.0.1:0@{}@{}", servers.empty() ? "" : ",", server.name,
            plan.services[server.service].name, defaults.slots, defaults.connections);
        listening.push_back("flow " + server.name);
        listening.push_back("request " + server.name);
    }
    BOOST_OUTCOME_TRY(process,
        starter.startListening("backend-servers", "wisteriadock-standin-backend",
            { "--servers=" + servers, "--admin=127.0.0.1:0" }, listening));
    return std::unique_ptr<BackendFleet>(new BackendFleet(client, std::move(process)));
}

Result<void> BackendFleet::setReplyAddress(const Endpoint& address)
{
    BOOST_OUTCOME_TRYV(client_.post(admin_, "/set", { { "reply_to", address.toString() } }));
    return boost::outcome_v2::success();
}

Result<nlohmann::json> BackendFleet::requestRecords()
{
    BOOST_OUTCOME_TRY(answer, client_.get(admin_, "/records?new_flows=no"));
    return answer.value("servers", Json::object());
}

Result<ServerRecords> BackendFleet::records(bool withNewFlowTimes)
{
    BOOST_OUTCOME_TRY(
        answer, client_.get(admin_, withNewFlowTimes ? "/records?keys=no" : "/records?new_flows=no&keys=no"));
    ServerRecords records;
    const Json servers = answer.value("servers", Json::object());
    for (const auto& [name, server] : servers.items())
        records[name] = recordOf(server);
    return records;
}

}
