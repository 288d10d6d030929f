#include "Platform/PlatformClient.h"

#include "Platform/PlatformJson.h"
#include "Platform/PlatformOutcome.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    // The platform must end a watch a little before its deadline. Otherwise answer and deadline race, and a quiet key
    // looks like a platform that hangs (DeadlineExceeded where NotFound is right).
    std::chrono::milliseconds watchTime(TimePoint deadline)
    {
        constexpr std::chrono::milliseconds longestMargin { 200 };
        constexpr int marginShare = 10;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
        const auto margin = std::min(left / marginShare, longestMargin);
        return std::clamp(left - margin, std::chrono::milliseconds(0), platformTimeLimit);
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
            return unreadableAnswer(body.error(), call);
        Result<Value> value = decode(body.value());
        if (!value)
            return unreadableAnswer(value.error(), call);
        return value;
    }

    Result<std::string> swapBody(
        const std::string& key, std::uint64_t revision, const std::string& value, std::optional<std::uint64_t> lease)
    {
        if (value.size() > platformValueLimit)
            return Error { ErrorCode::ResourceExhausted,
                fmt::format(
                    "value of key '{}' has {} bytes; expected at most {}", key, value.size(), platformValueLimit) };
        Json body { { "key", key }, { "expected_revision", revision }, { "value", value } };
        if (lease)
            body["lease"] = *lease;
        return toText(body);
    }

}

PlatformClient::PlatformClient(boost::asio::io_context& context, Endpoint platform, Http2Limits limits)
    : context_(context)
    , authority_(platform.toString())
    , http_(context, platform, limits)
{
}

PlatformClient::~PlatformClient() { run(*refusals_); }

void PlatformClient::get(const std::string& key, TimePoint deadline, Callback<PlatformEntry> callback)
{
    send({ PlatformCall::Get, toText({ { "key", key } }), deadline }, entryOfJson, std::move(callback));
}

void PlatformClient::compareAndSwap(const std::string& key, std::uint64_t revision, const std::string& value,
    std::optional<std::uint64_t> lease, TimePoint deadline, Callback<std::uint64_t> callback)
{
    send({ PlatformCall::CompareAndSwap, swapBody(key, revision, value, lease), deadline }, revisionOfJson,
        std::move(callback));
}

void PlatformClient::watch(
    const std::string& key, std::uint64_t revision, TimePoint deadline, Callback<PlatformEntry> callback)
{
    const Json body { { "key", key }, { "after_revision", revision }, { "timeout_ms", watchTime(deadline).count() } };
    send({ PlatformCall::Watch, toText(body), deadline }, entryOfJson, std::move(callback));
}

void PlatformClient::grantLease(
    std::chrono::milliseconds timeToLive, TimePoint deadline, Callback<PlatformLease> callback)
{
    const Json body { { "time_to_live_ms", timeToLive.count() } };
    send({ PlatformCall::GrantLease, toText(body), deadline }, leaseOfJson, std::move(callback));
}

void PlatformClient::keepAlive(std::uint64_t lease, TimePoint deadline, Callback<PlatformLease> callback)
{
    send({ PlatformCall::KeepAlive, toText({ { "lease", lease } }), deadline }, leaseOfJson, std::move(callback));
}

void PlatformClient::listVms(TimePoint deadline, Callback<std::vector<Vm>> callback)
{
    send({ PlatformCall::ListVms, toText(Json::object()), deadline }, vmsOfJson, std::move(callback));
}

template <typename Value, typename Decode> void PlatformClient::send(Call call, Decode decode, Callback<Value> callback)
{
    if (!call.body) {
        refuseLater([callback = std::move(callback), error = call.body.error()] { callback(error); });
        return;
    }
    HttpRequest request;
    request.method = "POST";
    request.path = pathOf(call.kind);
    request.authority = authority_;
    request.headers = { { "content-type", "application/json" } };
    request.body = std::move(call.body).value();
    auto onOutcome = [kind = call.kind, decode, callback = std::move(callback)](
                         const HttpOutcome& outcome) { callback(readAnswer<Value>(kind, outcome, decode)); };
    http_.send(std::move(request), call.deadline, std::move(onOutcome));
}

// A callback that ran inside the call, or after the client's end, would find its owner half built or gone.
void PlatformClient::refuseLater(std::function<void()> refusal)
{
    refusals_->push_back(std::move(refusal));
    boost::asio::post(context_, [weak = std::weak_ptr(refusals_)] {
        if (const auto refusals = weak.lock())
            run(*refusals);
    });
}

void PlatformClient::run(Refusals& refusals)
{
    for (const auto& refusal : std::exchange(refusals, {}))
        refusal();
}

}
