#include "Net/Http1Client.h"
#include "Net/Http1Server.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <optional>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct Http1Test : testing::Test {
        boost::asio::io_context context;
        std::vector<std::shared_ptr<Http1Exchange>> pendingExchanges;
        std::unique_ptr<Http1Server> server = listen();

        std::unique_ptr<Http1Server> listen()
        {
            auto result = Http1Server::listen(
                context, { 0x7F000001, 0 }, [this](const std::shared_ptr<Http1Exchange>& exchange) {
                    if (exchange->request().path == "/held") {
                        pendingExchanges.push_back(exchange);
                        return;
                    }
                    HttpResponse response;
                    response.status = exchange->request().path == "/ready" ? 200 : 404;
                    response.body = exchange->request().path;
                    exchange->respond(std::move(response));
                });
            return std::move(result).value();
        }

        // Sends a request and runs the event loop until its callback has run.
        HttpOutcome call(Http1Client& client, const std::string& path, Duration timeout = 10s)
        {
            std::optional<HttpOutcome> outcome;
            HttpRequest request;
            request.path = path;
            request.authority = "test";
            client.send(
                std::move(request), Clock::now() + timeout, [&](const HttpOutcome& result) { outcome = result; });
            EXPECT_FALSE(outcome.has_value()) << "the callback ran inside the call";
            while (!outcome)
                context.run_one();
            return *outcome;
        }
    };

    TEST_F(Http1Test, SequentialRequests)
    {
        Http1Client client(context, server->address());
        for (int i = 0; i < 3; ++i) {
            const HttpOutcome outcome = call(client, "/ready");
            ASSERT_TRUE(outcome);
            EXPECT_EQ(outcome.value().status, 200);
            EXPECT_EQ(outcome.value().body, "/ready");
        }
        EXPECT_EQ(call(client, "/other").value().status, 404);
    }

    TEST_F(Http1Test, DeferredResponse)
    {
        Http1Client client(context, server->address());
        std::optional<HttpOutcome> outcome;
        HttpRequest request;
        request.path = "/held";
        client.send(std::move(request), Clock::now() + 10s, [&](const HttpOutcome& result) { outcome = result; });
        while (pendingExchanges.empty())
            context.run_one();
        EXPECT_TRUE(call(client, "/ready"));
        pendingExchanges.front()->respond({ .status = 200, .headers = {}, .body = "late" });
        while (!outcome)
            context.run_one();
        EXPECT_EQ(outcome->value().body, "late");
    }

    // Guards against reads without a timeout, which wait forever on a connection that is dead but was not reset.
    TEST_F(Http1Test, SilentConnectionTimesOutAndIsNotReused)
    {
        Http1Client client(context, server->address());
        const HttpOutcome silent = call(client, "/held", 50ms);
        ASSERT_FALSE(silent);
        EXPECT_EQ(silent.error().kind, HttpFailureKind::DeadlineExceeded);
        EXPECT_EQ(call(client, "/ready").value().body, "/ready");
    }

    // Guards against a deadline that ends a response in progress: a large response over a slow link would be requested
    // again and again.
    TEST_F(Http1Test, ResponseInProgressOutlivesDeadline)
    {
        using boost::asio::ip::tcp;
        tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        tcp::socket peer(context);
        boost::asio::steady_timer delayTimer(context);
        std::string received(4096, ' ');
        const std::string firstPart = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbeg";
        const std::string lastPart = "end";
        const auto callWithReadTimeout = [&](std::chrono::milliseconds readTimeout) {
            Http1Limits limits;
            limits.readTimeout = readTimeout;
            Http1Client client(context, { 0x7F000001, acceptor.local_endpoint().port() }, limits);
            const TimePoint deadline = Clock::now() + 2s;
            acceptor.async_accept(peer, [&](const boost::system::error_code&) {
                peer.async_read_some(boost::asio::buffer(received), [&](const boost::system::error_code&, std::size_t) {
                    boost::asio::write(peer, boost::asio::buffer(firstPart));
                    delayTimer.expires_at(deadline + 50ms);
                    delayTimer.async_wait([&](const boost::system::error_code&) {
                        boost::system::error_code ignored;
                        boost::asio::write(peer, boost::asio::buffer(lastPart), ignored);
                    });
                });
            });
            return call(client, "/", deadline - Clock::now());
        };
        EXPECT_EQ(callWithReadTimeout(30s).value().body, "begend");
        {
            SCOPED_TRACE("the response stalls");
            peer.close();
            const HttpOutcome stalled = callWithReadTimeout(1ms);
            ASSERT_FALSE(stalled);
            EXPECT_EQ(stalled.error().kind, HttpFailureKind::DeadlineExceeded);
        }
    }

    // Guards against a refused connection being reported as if the request could have been sent.
    TEST_F(Http1Test, ConnectionRefusedIsNotSent)
    {
        const Endpoint closedAddress = listen()->address();
        Http1Client client(context, closedAddress);
        const HttpOutcome outcome = call(client, "/ready");
        ASSERT_FALSE(outcome);
        EXPECT_EQ(outcome.error().kind, HttpFailureKind::NotSent);
    }

    // Guards against callbacks that run after the client was destroyed, or never.
    TEST_F(Http1Test, DestructorCancelsOpenRequests)
    {
        std::optional<HttpOutcome> outcome;
        {
            Http1Client client(context, server->address());
            HttpRequest request;
            request.path = "/held";
            client.send(std::move(request), Clock::now() + 10s, [&](const HttpOutcome& result) { outcome = result; });
            while (pendingExchanges.empty())
                context.run_one();
        }
        ASSERT_TRUE(outcome.has_value());
        EXPECT_EQ(outcome->error().kind, HttpFailureKind::Cancelled);
        pendingExchanges.clear();
        context.poll();
    }

    // Guards against connections that stay open after bytes that are not HTTP.
    TEST_F(Http1Test, MalformedRequestClosesConnection)
    {
        boost::asio::ip::tcp::socket socket(context);
        const Endpoint address = server->address();
        socket.connect({ boost::asio::ip::address_v4(address.address), address.port });
        boost::asio::write(socket, boost::asio::buffer(std::string("\x01\x02garbage\r\n\r\n")));
        std::optional<boost::system::error_code> ended;
        char byte = 0;
        boost::asio::async_read(socket, boost::asio::buffer(&byte, 1),
            [&](const boost::system::error_code& error, std::size_t) { ended = error; });
        while (!ended)
            context.run_one();
        EXPECT_TRUE(*ended);
    }

    // Guards against wrong progress and a missing cancellation when a server sends only half of the body.
    TEST_F(Http1Test, ProgressAndCancellationOfPartialResponse)
    {
        using boost::asio::ip::tcp;
        tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
        tcp::socket peer(context);
        const std::string half = "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n" + std::string(500, 'x');
        acceptor.async_accept(peer, [&](const auto&) { boost::asio::write(peer, boost::asio::buffer(half)); });
        Http1Client client(context, { 0x7F000001, acceptor.local_endpoint().port() });
        EXPECT_FALSE(client.progress());
        std::optional<HttpOutcome> outcome;
        HttpRequest request;
        request.path = "/long";
        request.authority = "test";
        client.send(std::move(request), Clock::now() + 10s, [&](const HttpOutcome& result) { outcome = result; });
        while (!client.progress() || client.progress()->received < 500)
            context.run_one();
        EXPECT_EQ(client.progress()->received, 500U);
        EXPECT_EQ(client.progress()->total, 1000U);
        client.cancelAll();
        ASSERT_TRUE(outcome);
        ASSERT_FALSE(*outcome);
        EXPECT_EQ(outcome->error().kind, HttpFailureKind::Cancelled);
        EXPECT_FALSE(client.progress());
    }

}

}
