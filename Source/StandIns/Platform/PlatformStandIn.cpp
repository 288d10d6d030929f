#include "StandIns/Platform/PlatformStandIn.h"

#include "KeyValue/PlatformCodec.h"
#include "KeyValue/PlatformOutcome.h"

#include <fmt/format.h>

namespace wisteriadock {

namespace {

    template <typename Value> Result<Json> toJsonResult(const Result<Value>& result)
    {
        if (!result)
            return result.error();
        return toJson(result.value());
    }

}

Result<std::shared_ptr<PlatformStandIn>> PlatformStandIn::listen(boost::asio::io_context& context, Endpoint address)
{
    const std::shared_ptr<PlatformStandIn> standIn(new PlatformStandIn(context));
    const auto handler = [weak = standIn->weak_from_this()](const Exchange& exchange) {
        if (const auto self = weak.lock())
            self->handle(exchange);
    };
    BOOST_OUTCOME_TRY(server, Http2Server::listen(context, address, handler));
    standIn->server_ = std::move(server);
    return standIn;
}

PlatformStandIn::PlatformStandIn(boost::asio::io_context& context)
    : context_(context)
    , admin_(store_, faults_)
    , timer_(context)
{
}

void PlatformStandIn::handle(const Exchange& exchange)
{
    if (PlatformStandInAdmin::handles(exchange->request().path))
        handleAdmin(exchange);
    else
        handleCall(exchange);
    answerEndedWatches();
}

void PlatformStandIn::handleAdmin(const Exchange& exchange)
{
    exchange->respond(admin_.handle(exchange->request(), Clock::now()));
    if (faults_.outage == OutageMode::Up)
        return;
    for (const auto& [id, watcher] : std::exchange(watchers_, {})) {
        store_.cancelWatch(id);
        failWithOutage(watcher);
    }
}

void PlatformStandIn::handleCall(const Exchange& exchange)
{
    const auto call = platformCallOfPath(exchange->request().path);
    if (!call || exchange->request().method != "POST") {
        const auto& request = exchange->request();
        exchange->respond(refusalOf({ ErrorCode::InvalidArgument,
            fmt::format("{} {}: expected POST and the path of a call", request.method, request.path) }));
        return;
    }
    if (faults_.outage == OutageMode::Up && faults_.callDelay.count() > 0)
        handleDelayed(*call, exchange);
    else
        perform(*call, exchange);
}

// Drops a read whose caller has cancelled it: a watch started then would wait, and be counted, without a caller until
// its timeout. A cancelled write is still executed, as by a slow platform that has already received it.
void PlatformStandIn::handleDelayed(PlatformCall call, const Exchange& exchange)
{
    const auto cancelled = std::make_shared<bool>(false);
    exchange->onCancelled([cancelled] { *cancelled = true; });
    const auto delay = std::make_shared<boost::asio::steady_timer>(context_, faults_.callDelay);
    delay->async_wait([delay, cancelled, call, exchange, weak = weak_from_this()](const boost::system::error_code&) {
        const auto self = weak.lock();
        if (!self || (*cancelled && !isWrite(call)))
            return;
        self->perform(call, exchange);
        self->answerEndedWatches();
    });
}

void PlatformStandIn::perform(PlatformCall call, const Exchange& exchange)
{
    if (faults_.outage != OutageMode::Up) {
        failWithOutage(exchange);
        return;
    }
    const TimePoint now = Clock::now();
    const auto arguments = parseJsonObject(exchange->request().body);
    if (!arguments) {
        answer(call, exchange, arguments.error());
    } else if (call == PlatformCall::Watch) {
        if (const auto started = startWatch(arguments.value(), now, exchange); !started)
            answer(call, exchange, started.error());
    } else {
        answer(call, exchange, execute(call, arguments.value(), now));
    }
}

void PlatformStandIn::failWithOutage(const Exchange& exchange)
{
    ++faults_.callsFailed;
    if (faults_.outage == OutageMode::Unavailable)
        respond(exchange, refusalOf({ ErrorCode::Unavailable, "the stand-in simulates an outage" }));
    else if (faults_.outage == OutageMode::Refuse)
        exchange->refuse();
    // OutageMode::Reset: releasing the exchange without an answer resets its stream.
}

Result<Json> PlatformStandIn::execute(PlatformCall call, const Json& arguments, TimePoint now)
{
    switch (call) {
    case PlatformCall::Get: {
        BOOST_OUTCOME_TRY(key, textField(arguments, "key"));
        return toJsonResult(store_.get(key, now));
    }
    case PlatformCall::CompareAndSwap:
        return executeCompareAndSwap(arguments, now);
    case PlatformCall::GrantLease: {
        BOOST_OUTCOME_TRY(timeToLive, millisecondsField(arguments, "time_to_live_ms"));
        return toJsonResult(store_.grantLease(timeToLive, now));
    }
    case PlatformCall::KeepAlive: {
        BOOST_OUTCOME_TRY(lease, unsignedField(arguments, "lease"));
        return toJsonResult(store_.keepAlive(lease, now));
    }
    case PlatformCall::ListVms:
        return toJson(store_.listVms(now));
    case PlatformCall::Watch:
        break;
    }
    return Error { ErrorCode::InvalidArgument, fmt::format("call {} has no direct answer", nameOf(call)) };
}

Result<Json> PlatformStandIn::executeCompareAndSwap(const Json& arguments, TimePoint now)
{
    BOOST_OUTCOME_TRY(key, textField(arguments, "key"));
    BOOST_OUTCOME_TRY(expected, unsignedField(arguments, "expected_revision"));
    BOOST_OUTCOME_TRY(value, textField(arguments, "value"));
    BOOST_OUTCOME_TRY(lease, optionalUnsignedField(arguments, "lease"));
    const PlatformStore::CompareAndSwap write { std::move(key), expected, std::move(value), lease };
    BOOST_OUTCOME_TRY(revision, store_.compareAndSwap(write, now));
    return revisionToJson(revision);
}

Result<void> PlatformStandIn::startWatch(const Json& arguments, TimePoint now, const Exchange& exchange)
{
    BOOST_OUTCOME_TRY(key, textField(arguments, "key"));
    BOOST_OUTCOME_TRY(afterRevision, unsignedField(arguments, "after_revision"));
    BOOST_OUTCOME_TRY(timeout, millisecondsField(arguments, "timeout_ms"));
    const auto id = store_.watch(key, afterRevision, now + timeout, now);
    watchers_.emplace(id, exchange);
    exchange->onCancelled([id, weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->store_.cancelWatch(id);
        self->watchers_.erase(id);
    });
    return boost::outcome_v2::success();
}

void PlatformStandIn::answer(PlatformCall call, const Exchange& exchange, const Result<Json>& result)
{
    if (!result)
        respond(exchange, refusalOf(result.error()));
    else if (!faults_.consumeLostAnswer(call))
        respond(exchange, { 200, { { "content-type", "application/json" } }, result.value().dump() });
}

void PlatformStandIn::respond(const Exchange& exchange, HttpResponse response) const
{
    response.headers.push_back({ platformEraHeader, std::to_string(store_.era()) });
    exchange->respond(std::move(response));
}

void PlatformStandIn::answerEndedWatches()
{
    for (const auto& ended : store_.takeEndedWatches()) {
        const auto watcher = watchers_.find(ended.id);
        if (watcher == watchers_.end())
            continue;
        const Exchange exchange = watcher->second;
        watchers_.erase(watcher);
        answer(PlatformCall::Watch, exchange, toJsonResult(ended.result));
    }
    armTimer();
}

void PlatformStandIn::armTimer()
{
    const auto deadline = store_.nextDeadline();
    if (!deadline) {
        timer_.cancel();
        return;
    }
    timer_.expires_at(*deadline);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->store_.advance(Clock::now());
        self->answerEndedWatches();
    });
}

}
