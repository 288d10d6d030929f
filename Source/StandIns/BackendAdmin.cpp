#include "StandIns/BackendAdmin.h"

#include "StandIns/JsonText.h"

#include <fmt/format.h>

#include <functional>
#include <optional>
#include <string>

namespace wisteriadock {

namespace {

    using Json = nlohmann::json;
    using Change = std::function<void(BackendStandInServer&)>;

    Json newFlowsOf(const BackendFlowTable& flows)
    {
        Json rows = Json::array();
        for (const NewFlowRecord& record : flows.newFlows())
            rows.push_back({ record.flow, monotonicMilliseconds(record.firstSeen) });
        return rows;
    }

    Json keysOf(const BackendRequestTracker& requests)
    {
        Json keys = Json::object();
        for (const auto& [key, record] : requests.keys()) {
            Json runs = Json::array();
            for (const RunRecord& run : record.records)
                runs.push_back({
                    { "started_milliseconds", monotonicMilliseconds(run.startedAt) },
                    { "ended_milliseconds", monotonicMilliseconds(run.endedAt) },
                    { "outcome", std::string(nameOf(run.outcome)) },
                });
            keys[key] = { { "runs", record.runs }, { "records", std::move(runs) } };
        }
        return keys;
    }

    Json recordOf(const BackendStandInServer& server, bool withNewFlows, bool withKeys)
    {
        const BackendFlowCounts& flows = server.flows().counts();
        const BackendRequestCounts& requests = server.requests().counts();
        Json record {
            { "service", server.spec().serviceName },
            { "packets", flows.packets },
            { "new_flow_count", flows.newFlows },
            { "live_flows", server.flows().liveFlows() },
            { "peak_flows", flows.peakFlows },
            { "unknown_flow_count", flows.unknownFlowPackets },
            { "wrong_service_count", flows.wrongServicePackets },
            { "refused_flows", flows.refusedFlows },
            { "dropped_flow_records", flows.droppedRecords },
            { "malformed_datagrams", server.malformedDatagrams() },
            { "running_requests", server.requests().running() },
            { "runs", requests.runs },
            { "completed", requests.completed },
            { "cancelled", requests.cancelled },
            { "deadline_exceeded", requests.deadlineExceeded },
            { "shed", requests.shed },
            { "unrecorded_runs", requests.unrecordedRuns },
        };
        if (withNewFlows)
            record["new_flows"] = newFlowsOf(server.flows());
        if (withKeys)
            record["keys"] = keysOf(server.requests());
        return record;
    }

    Error invalidValue(const std::string& key, std::string_view expected)
    {
        return { ErrorCode::InvalidArgument, fmt::format("'{}'; expected {}", key, expected) };
    }

    template <typename Number> Result<Number> numberFrom(const std::string& key, const Json& value)
    {
        constexpr double max = 1e12;
        if (!value.is_number() || value.get<double>() < 0 || value.get<double>() > max)
            return invalidValue(key, "a number from 0");
        return static_cast<Number>(value.get<double>());
    }

    // null removes an override.
    Result<std::optional<std::size_t>> countOverrideFrom(const std::string& key, const Json& value)
    {
        if (value.is_null())
            return std::optional<std::size_t>();
        BOOST_OUTCOME_TRY(number, numberFrom<std::size_t>(key, value));
        return std::optional(number);
    }

    Result<std::optional<BackendHealth>> healthOverrideFrom(const std::string& key, const Json& value)
    {
        if (value.is_null())
            return std::optional<BackendHealth>();
        const auto health = value.is_string() ? parseBackendHealth(value.get<std::string>()) : std::nullopt;
        if (!health)
            return invalidValue(key, "healthy, draining, failing or null");
        return health;
    }

    Result<bool> flagFrom(const std::string& key, const Json& value)
    {
        if (!value.is_boolean())
            return invalidValue(key, "true or false");
        return value.get<bool>();
    }

    Result<Change> requestChange(const std::string& key, const Json& value)
    {
        if (key == "drain") {
            BOOST_OUTCOME_TRY(on, flagFrom(key, value));
            return Change([on](auto& server) { server.requests().behaviour().draining = on; });
        }
        if (key == "shed") {
            BOOST_OUTCOME_TRY(on, flagFrom(key, value));
            return Change([on](auto& server) { server.requests().behaviour().shedding = on; });
        }
        if (key == "refuse_streams") {
            BOOST_OUTCOME_TRY(on, flagFrom(key, value));
            const RejectionMode mode = on ? RejectionMode::RefuseStream : RejectionMode::Status;
            return Change([mode](auto& server) { server.setRejectionMode(mode); });
        }
        if (key == "slots") {
            BOOST_OUTCOME_TRY(slots, numberFrom<std::size_t>(key, value));
            return Change([slots](auto& server) { server.requests().behaviour().slots = slots; });
        }
        if (key == "cold_requests") {
            BOOST_OUTCOME_TRY(count, numberFrom<std::uint64_t>(key, value));
            return Change([count](auto& server) { server.requests().behaviour().coldRequests = count; });
        }
        if (key == "cold_factor") {
            BOOST_OUTCOME_TRY(factor, numberFrom<double>(key, value));
            return Change([factor](auto& server) { server.requests().behaviour().coldFactor = factor; });
        }
        return invalidValue(key, "a known key");
    }

    Result<Change> changeOf(const std::string& key, const Json& value)
    {
        if (key == "lag_milliseconds") {
            BOOST_OUTCOME_TRY(lag, numberFrom<std::int64_t>(key, value));
            return Change([lag](auto& server) { server.status().overrides().lag = std::chrono::milliseconds(lag); });
        }
        if (key == "health_lie") {
            BOOST_OUTCOME_TRY(health, healthOverrideFrom(key, value));
            return Change([health](auto& server) { server.status().overrides().health = health; });
        }
        if (key == "running_requests_lie") {
            BOOST_OUTCOME_TRY(running, countOverrideFrom(key, value));
            return Change([running](auto& server) { server.status().overrides().runningRequests = running; });
        }
        if (key == "live_flows_lie") {
            BOOST_OUTCOME_TRY(live, countOverrideFrom(key, value));
            return Change([live](auto& server) { server.status().overrides().liveFlows = live; });
        }
        if (key == "reply_to") {
            BOOST_OUTCOME_TRY(replyTo, Endpoint::parse(value.is_string() ? value.get<std::string>() : value.dump()));
            return Change([replyTo](auto& server) { server.setReplyTo(replyTo); });
        }
        return requestChange(key, value);
    }

    Result<BackendServers> selectServers(const BackendServers& servers, const Json& body)
    {
        if (!body.contains("server"))
            return servers;
        for (const auto& server : servers) {
            if (body["server"] == server->spec().name)
                return BackendServers { server };
        }
        return Error { ErrorCode::InvalidArgument, fmt::format("unknown backend server {}", body["server"].dump()) };
    }

}

nlohmann::json recordsOf(const BackendServers& servers, std::string_view path, TimePoint now)
{
    const bool withNewFlows = path.find("new_flows=no") == std::string_view::npos;
    const bool withKeys = path.find("keys=no") == std::string_view::npos;
    Json rows = Json::object();
    for (const auto& server : servers)
        rows[server->spec().name] = recordOf(*server, withNewFlows, withKeys);
    return { { "now_milliseconds", monotonicMilliseconds(now) }, { "servers", std::move(rows) } };
}

Result<void> changeBackends(const BackendServers& servers, std::string_view text)
{
    BOOST_OUTCOME_TRY(body, parseJson(text));
    if (!body.is_object())
        return Error { ErrorCode::InvalidArgument, "the body is not a JSON object" };
    BOOST_OUTCOME_TRY(selectedServers, selectServers(servers, body));
    std::vector<Change> changes;
    for (const auto& [key, value] : body.items()) {
        if (key == "server")
            continue;
        BOOST_OUTCOME_TRY(change, changeOf(key, value));
        changes.push_back(std::move(change));
    }
    for (const auto& server : selectedServers) {
        for (const Change& change : changes)
            change(*server);
    }
    return boost::outcome_v2::success();
}

}
