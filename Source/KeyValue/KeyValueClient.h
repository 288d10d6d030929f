#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "KeyValue/PlatformCalls.h"
#include "Net/HttpMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// How one key-value service spells a call: the request that asks for it, and what an outcome of that request means.
template <typename T, typename Call, typename Outcome>
concept KeyValueCodec = requires(const Call& call, const Outcome& outcome)
{
    {
        T::encode(call)
        } -> std::same_as<Result<HttpRequest>>;
    {
        T::decode(call, outcome)
        } -> std::same_as<Result<typename Call::Value>>;
};

// The client of a key-value service. Transport (Http1Client, Http2Client) and dialect vary; this class makes sure that
// every call is sent once at most, and that its callback runs exactly once, never inside the call, and at the latest
// when the client is destroyed. Not thread-safe: all calls and callbacks happen on the thread of the io_context.
template <typename Http, typename Codec> class KeyValueClient {
public:
    template <typename Value> using Callback = std::function<void(Result<Value>)>;

    template <typename... Options>
    KeyValueClient(boost::asio::io_context& context, Endpoint service, Options... options)
        : context_(context)
        , authority_(service.toString())
        , http_(context, service, options...)
    {
    }
    ~KeyValueClient() { run(*refusals_); }
    KeyValueClient(const KeyValueClient&) = delete;
    KeyValueClient& operator=(const KeyValueClient&) = delete;

    // Sends the call once. A call that can't be encoded ends with the encoder's error, unsent.
    template <typename Call> void send(Call call, TimePoint deadline, Callback<typename Call::Value> callback)
    {
        Result<HttpRequest> request = Codec::encode(call);
        if (!request) {
            refuseLater([callback = std::move(callback), error = request.error()] { callback(error); });
            return;
        }
        request.value().authority = authority_;
        auto onOutcome = [call = std::move(call), callback = std::move(callback)](
                             const auto& outcome) { callback(Codec::decode(call, outcome)); };
        http_.send(std::move(request).value(), deadline, std::move(onOutcome));
    }

    Http& http() { return http_; }
    const Http& http() const { return http_; }

private:
    // Callbacks of calls that end unsent, waiting for the io_context's next turn.
    using Refusals = std::vector<std::function<void()>>;

    // A callback that ran inside the call, or after the client's end, would find its owner half built or gone.
    void refuseLater(std::function<void()> refusal)
    {
        refusals_->push_back(std::move(refusal));
        boost::asio::post(context_, [weak = std::weak_ptr(refusals_)] {
            if (const auto refusals = weak.lock())
                run(*refusals);
        });
    }

    static void run(Refusals& refusals)
    {
        for (const auto& refusal : std::exchange(refusals, {}))
            refusal();
    }

    boost::asio::io_context& context_;
    std::string authority_;
    std::shared_ptr<Refusals> refusals_ = std::make_shared<Refusals>();
    Http http_;
};

}
