#include "StandIns/Platform/PlatformStandInAdmin.h"

#include "KeyValue/PlatformOutcome.h"

#include <fmt/format.h>

namespace wisteriadock {

PlatformStandInAdmin::PlatformStandInAdmin(PlatformStore& store, PlatformFaults& faults)
    : store_(store)
    , faults_(faults)
{
}

HttpResponse PlatformStandInAdmin::handle(const HttpRequest& request, TimePoint now)
{
    const auto body = answer(request, now);
    if (!body)
        return refusalOf(body.error());
    return { 200, { { "content-type", "application/json" } }, body.value().dump() + "\n" };
}

Result<Json> PlatformStandInAdmin::answer(const HttpRequest& request, TimePoint now)
{
    if (request.method == "GET" && request.path == "/admin/counters")
        return counters();
    if (request.method == "GET" && request.path == "/admin/faults")
        return faults_.toJson();
    if (request.method == "POST") {
        BOOST_OUTCOME_TRY(body, parseJsonObject(request.body));
        return change(request.path, body, now);
    }
    return Error { ErrorCode::NotFound, fmt::format("{} {}: no such admin path", request.method, request.path) };
}

Result<Json> PlatformStandInAdmin::change(std::string_view path, const Json& body, TimePoint now)
{
    if (path == "/admin/faults") {
        BOOST_OUTCOME_TRYV(faults_.change(body));
        return faults_.toJson();
    }
    if (path == "/admin/vms")
        return changeVms(body, now);
    if (path == "/admin/snapshot") {
        BOOST_OUTCOME_TRY(name, textField(body, "name"));
        snapshots_.insert_or_assign(name, store_.takeSnapshot(now));
        return revisionToJson(store_.revision());
    }
    if (path == "/admin/restore") {
        BOOST_OUTCOME_TRY(name, textField(body, "name"));
        return restoreSnapshot(name, now);
    }
    return Error { ErrorCode::NotFound, fmt::format("POST {}: no such admin path", path) };
}

Result<Json> PlatformStandInAdmin::restoreSnapshot(const std::string& name, TimePoint now)
{
    const auto snapshot = snapshots_.find(name);
    if (snapshot == snapshots_.end())
        return Error { ErrorCode::NotFound, fmt::format("snapshot '{}' was never taken", name) };
    store_.restore(snapshot->second, now);
    return revisionToJson(store_.revision());
}

// Sets the lag before the list, so that it applies to a list in the same request.
Result<Json> PlatformStandInAdmin::changeVms(const Json& body, TimePoint now)
{
    std::optional<std::chrono::milliseconds> lag;
    std::optional<std::vector<Vm>> vms;
    if (body.contains("lag_ms")) {
        BOOST_OUTCOME_TRY(time, millisecondsField(body, "lag_ms"));
        lag = time;
    }
    if (body.contains("vms")) {
        BOOST_OUTCOME_TRY(list, vmsOfJson(body));
        vms = std::move(list);
    }
    if (lag)
        store_.setVmLag(*lag);
    if (vms)
        store_.setVms(*std::move(vms), now);
    return Json::object();
}

Json PlatformStandInAdmin::counters() const
{
    Json calls = Json::object();
    for (std::size_t i = 0; i < platformCallKinds; ++i) {
        const auto call = static_cast<PlatformCall>(i);
        calls[std::string(nameOf(call))] = store_.callCount(call);
    }
    return {
        { "calls", std::move(calls) },
        { "calls_failed", faults_.callsFailed },
        { "answers_lost", faults_.answersLost },
        { "waiting_watches", store_.waitingWatches() },
        { "revision", store_.revision() },
    };
}

}
