#pragma once

#include "Net/Http2Client.h"
#include "Net/Http2Server.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace wisteriadock {

// A server on an ephemeral port and a client connected to it, on one io_context that tests run until a condition holds.
class Http2Fixture : public testing::Test {
protected:
    using Exchange = std::shared_ptr<Http2Exchange>;

    // A request and its outcome.
    struct Call {
        std::optional<HttpOutcome> outcome;
        Http2Client::RequestId id = 0;

        bool hasEnded() const { return outcome.has_value(); }
        bool hasResponse() const { return hasEnded() && outcome->has_value(); }
        HttpFailureKind failure() const { return outcome->error().kind; }
        const HttpResponse& response() const { return outcome->value(); }
    };

    static constexpr Endpoint loopback { 0x7F000001, 0 };

    // Starts a server whose handler stores each exchange in `exchanges_`, and a client of it.
    void listen(Http2Limits limits = {})
    {
        auto listening = Http2Server::listen(
            context_, loopback, [this](Exchange exchange) { exchanges_.push_back(std::move(exchange)); }, limits);
        ASSERT_TRUE(listening);
        server_ = std::move(listening).value();
        client_ = std::make_unique<Http2Client>(context_, server_->address());
    }

    std::shared_ptr<Call> send(HttpRequest request, Duration timeout = std::chrono::minutes(1))
    {
        return sendWith(*client_, std::move(request), timeout);
    }

    static std::shared_ptr<Call> sendWith(
        Http2Client& sender, HttpRequest request, Duration timeout = std::chrono::minutes(1))
    {
        auto call = std::make_shared<Call>();
        call->id = sender.send(std::move(request), Clock::now() + timeout,
            [call](HttpOutcome outcome) { call->outcome = std::move(outcome); });
        return call;
    }

    static HttpRequest makePost(std::string path, std::string body)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = std::move(path);
        request.authority = "tryon";
        request.body = std::move(body);
        return request;
    }

    static HttpResponse makeResponse(std::string body)
    {
        HttpResponse response;
        response.body = std::move(body);
        return response;
    }

    // Runs the event loop until the condition holds; the timeout of CTest applies.
    template <typename Condition> void runUntil(Condition condition)
    {
        context_.restart();
        while (!condition())
            ASSERT_GT(context_.run_one(), 0U) << "the event loop ran out of work";
    }

    // Runs the event loop until the handler has received `count` exchanges in total.
    void runUntilExchanges(std::size_t count)
    {
        runUntil([&] { return exchanges_.size() >= count; });
    }

    // Checks that the server responds to a new client.
    void expectServerResponds()
    {
        const std::size_t before = exchanges_.size();
        Http2Client other(context_, server_->address());
        const auto call = sendWith(other, makePost("/still-there", "x"));
        runUntilExchanges(before + 1);
        exchanges_.back()->respond(makeResponse("yes"));
        runUntilEnded({ call });
        ASSERT_TRUE(call->hasResponse());
        EXPECT_EQ(call->response().body, "yes");
    }

    void runUntilEnded(const std::vector<std::shared_ptr<Call>>& calls)
    {
        runUntil(
            [&] { return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->hasEnded(); }); });
    }

    boost::asio::io_context context_;
    std::vector<Exchange> exchanges_;
    std::unique_ptr<Http2Server> server_;
    std::unique_ptr<Http2Client> client_;
};

}
