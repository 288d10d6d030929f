#include "KeyValue/PlatformCodec.h"

#include "KeyValue/PlatformCall.h"
#include "KeyValue/PlatformJson.h"
#include "KeyValue/PlatformOutcome.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace wisteriadock {

namespace {

    Result<HttpRequest> requestOf(PlatformCall call, const Json& body)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = pathOf(call);
        request.headers = { { "content-type", "application/json" } };
        BOOST_OUTCOME_TRY(text, toText(body));
        request.body = std::move(text);
        return request;
    }

    template <typename Value, typename Decode>
    Result<Value> readAnswer(PlatformCall call, const HttpOutcome& outcome, const Decode& decode)
    {
        if (!outcome)
            return errorOf(outcome.error(), call);
        if (outcome.value().status != 200)
            return errorOf(outcome.value(), call);
        const auto body = parseJsonObject(outcome.value().body);
        if (!body)
            return malformedAnswer(body.error(), call);
        Result<Value> value = decode(body.value());
        if (!value)
            return malformedAnswer(value.error(), call);
        return value;
    }

}

Result<HttpRequest> PlatformCodec::encode(const GetCall& call)
{
    return requestOf(PlatformCall::Get, { { "key", call.key } });
}

Result<HttpRequest> PlatformCodec::encode(const CompareAndSwapCall& call)
{
    if (call.value.size() > platformValueLimit)
        return Error { ErrorCode::ResourceExhausted,
            fmt::format("value of key '{}' has {} bytes; expected at most {}", call.key, call.value.size(),
                platformValueLimit) };
    Json body { { "key", call.key }, { "expected_revision", call.revision }, { "value", call.value } };
    if (call.lease)
        body["lease"] = *call.lease;
    return requestOf(PlatformCall::CompareAndSwap, body);
}

Result<HttpRequest> PlatformCodec::encode(const WatchCall& call)
{
    return requestOf(PlatformCall::Watch,
        { { "key", call.key }, { "after_revision", call.revision }, { "timeout_ms", call.wait.count() } });
}

Result<HttpRequest> PlatformCodec::encode(const GrantLeaseCall& call)
{
    return requestOf(PlatformCall::GrantLease, { { "time_to_live_ms", call.timeToLive.count() } });
}

Result<HttpRequest> PlatformCodec::encode(const KeepAliveCall& call)
{
    return requestOf(PlatformCall::KeepAlive, { { "lease", call.lease } });
}

Result<HttpRequest> PlatformCodec::encode(const ListVmsCall&)
{
    return requestOf(PlatformCall::ListVms, Json::object());
}

std::uint64_t PlatformCodec::eraOf(const HttpOutcome& outcome)
{
    std::uint64_t era = 0;
    if (!outcome)
        return era;
    const std::string_view text = outcome.value().header(platformEraHeader);
    std::from_chars(text.data(), text.data() + text.size(), era);
    return era;
}

Result<PlatformEntry> PlatformCodec::decode(const GetCall&, const HttpOutcome& outcome)
{
    return readAnswer<PlatformEntry>(PlatformCall::Get, outcome, entryOfJson);
}

Result<std::uint64_t> PlatformCodec::decode(const CompareAndSwapCall&, const HttpOutcome& outcome)
{
    return readAnswer<std::uint64_t>(PlatformCall::CompareAndSwap, outcome, revisionOfJson);
}

Result<PlatformEntry> PlatformCodec::decode(const WatchCall&, const HttpOutcome& outcome)
{
    return readAnswer<PlatformEntry>(PlatformCall::Watch, outcome, entryOfJson);
}

Result<PlatformLease> PlatformCodec::decode(const GrantLeaseCall&, const HttpOutcome& outcome)
{
    return readAnswer<PlatformLease>(PlatformCall::GrantLease, outcome, leaseOfJson);
}

Result<PlatformLease> PlatformCodec::decode(const KeepAliveCall&, const HttpOutcome& outcome)
{
    return readAnswer<PlatformLease>(PlatformCall::KeepAlive, outcome, leaseOfJson);
}

Result<std::vector<Vm>> PlatformCodec::decode(const ListVmsCall&, const HttpOutcome& outcome)
{
    return readAnswer<std::vector<Vm>>(PlatformCall::ListVms, outcome, vmsOfJson);
}

}
