#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "KeyValue/PlatformCalls.h"
#include "Net/HttpMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// The protocol of one key-value service: encodes a call as an HTTP request and decodes the outcome of that request.
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

// The client of a key-value service, over the given transport (Http1Client or Http2Client) and codec. Every call is
// sent at most once, and its callback runs exactly once, never inside the call, and at the latest when the client is
// destroyed. Not thread-safe: calls must be made on the thread that runs the io_context, and callbacks run there.
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
    ~KeyValueClient() { run(*unsentCalls_); }
    KeyValueClient(const KeyValueClient&) = delete;
    KeyValueClient& operator=(const KeyValueClient&) = delete;

    // Sends the call. A call that can't be encoded is not sent and fails with the error of the encoder.
    template <typename Call> void send(Call call, TimePoint deadline, Callback<typename Call::Value> callback)
    {
        Result<HttpRequest> request = Codec::encode(call);
        if (!request) {
            failLater([callback = std::move(callback), error = request.error()] { callback(error); });
            return;
        }
        request.value().authority = authority_;
        auto onOutcome = [this, call = std::move(call), callback = std::move(callback)](const auto& outcome) {
            this->noteEra(outcome);
            callback(Codec::decode(call, outcome));
        };
        http_.send(std::move(request).value(), deadline, std::move(onOutcome));
    }

    // The highest era in an answer so far, for codecs that read it from every answer; 0 otherwise.
    std::uint64_t era() const { return era_; }
    Http& http() { return http_; }
    const Http& http() const { return http_; }

private:
    // Callbacks of calls that failed without a request, to be run by the io_context.
    using UnsentCalls = std::vector<std::function<void()>>;

    // Defers the callback, so that it never runs inside the call. The destructor runs the deferred callbacks.
    void failLater(std::function<void()> callback)
    {
        unsentCalls_->push_back(std::move(callback));
        boost::asio::post(context_, [weak = std::weak_ptr(unsentCalls_)] {
            if (const auto calls = weak.lock())
                run(*calls);
        });
    }

    static void run(UnsentCalls& calls)
    {
        for (const auto& callback : std::exchange(calls, {}))
            callback();
    }

    template <typename Outcome> void noteEra(const Outcome& outcome)
    {
        if constexpr (requires { Codec::eraOf(outcome); })
            era_ = std::max(era_, Codec::eraOf(outcome));
    }

    boost::asio::io_context& context_;
    std::uint64_t era_ = 0;
    std::string authority_;
    std::shared_ptr<UnsentCalls> unsentCalls_ = std::make_shared<UnsentCalls>();
    Http http_;
};

}
