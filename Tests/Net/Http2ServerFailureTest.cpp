#include "Net/Http2Fixture.h"
#include "Net/RawHttp2.h"

namespace wisteriadock {
namespace {

    class Http2ServerFailureTest : public Http2Fixture {
    protected:
        // Connects a peer and sends the client preface and SETTINGS.
        void connectPeer(RawPeer& peer)
        {
            peer.connect(server_->address());
            peer.write(std::string(raw::preface) + raw::frame(raw::Settings, 0, 0, ""));
        }

        // Sends a malformed frame or message and checks that the server counts one protocol error, closes the
        // connection or resets the stream, and continues to serve other clients.
        void expectProtocolError(const std::string& bytes, bool endsConnection)
        {
            const std::uint64_t before = server_->protocolErrors();
            RawPeer peer(context_);
            connectPeer(peer);
            peer.write(bytes);
            runUntil([&] { return endsConnection ? peer.isEnded() : peer.hasFrame(raw::Reset); });
            EXPECT_EQ(server_->protocolErrors(), before + 1);
            peer.close();
            expectServerResponds();
        }
    };

    // Guards against a drain that loses open streams or requests in flight.
    TEST_F(Http2ServerFailureTest, DrainCompletesOpenStreams)
    {
        listen();
        const auto open = send(makePost("/open", "work"));
        runUntilExchanges(1);
        const auto inFlight = send(makePost("/on-its-way", "work"));
        bool isDrained = false;
        server_->drain([&] { isDrained = true; });
        runUntilExchanges(2);
        EXPECT_FALSE(isDrained);
        {
            SCOPED_TRACE("a new connection is refused");
            Http2Client other(context_, server_->address());
            const auto refused = sendWith(other, makePost("/", "work"));
            runUntilEnded({ refused });
            EXPECT_EQ(refused->failure(), HttpFailureKind::NotSent);
        }
        exchanges_[0]->respond(makeResponse(std::string(std::size_t(1024) * 1024, 'x')));
        exchanges_[1]->respond(makeResponse("x"));
        runUntilEnded({ open, inFlight });
        EXPECT_TRUE(open->hasResponse() && inFlight->hasResponse());
        runUntil([&] { return isDrained; });
    }

    // Guards against a drain that resets the connections in the accept queue of the kernel.
    TEST_F(Http2ServerFailureTest, DrainServesQueuedConnections)
    {
        listen();
        RawPeer queued(context_);
        connectPeer(queued);
        queued.write(raw::frame(raw::Headers, raw::endHeaders | raw::endStream, 1, raw::requestFields()));
        bool isDrained = false;
        server_->drain([&] { isDrained = true; });
        runUntilExchanges(1);
        exchanges_[0]->respond(makeResponse("x"));
        runUntil([&] { return queued.hasFrame(raw::Data) && isDrained; });
    }

    // Guards against a drain that never completes because a client does not acknowledge the ping.
    TEST_F(Http2ServerFailureTest, DrainsDespiteSilentClient)
    {
        listen();
        RawPeer silent(context_);
        connectPeer(silent);
        runUntil([&] { return silent.hasFrame(raw::Settings); });
        bool isDrained = false;
        server_->drain([&] { isDrained = true; });
        runUntil([&] { return isDrained; });
        EXPECT_TRUE(silent.hasFrame(raw::GoAway));
    }

    // Guards against a server that fails on bytes without the HTTP/2 preface.
    TEST_F(Http2ServerFailureTest, CountsNonHttp2ConnectionsAndKeepsServing)
    {
        listen();
        std::uint64_t count = 0;
        for (const std::string& bytes :
            { std::string("GET / HTTP/1.1\r\nhost: tryon\r\n\r\n"), std::string(5000, '\xFF') }) {
            RawPeer peer(context_);
            peer.connect(server_->address());
            peer.write(bytes);
            runUntil([&] { return peer.isEnded(); });
            EXPECT_EQ(server_->protocolErrors(), ++count);
        }
        expectServerResponds();
    }

    // Guards against malformed requests that reach the handler, since a backend server might parse them differently.
    TEST_F(Http2ServerFailureTest, CountsMalformedFramesAndKeepsServing)
    {
        listen();
        const auto headers = [](const std::string& fields, std::uint8_t flags = 0) {
            return raw::frame(raw::Headers, raw::endHeaders | flags, 1, fields);
        };
        {
            SCOPED_TRACE("frame over 16 KB");
            expectProtocolError(raw::frame(raw::Data, 0, 1, std::string(16385, 'x')), true);
        }
        {
            SCOPED_TRACE("data on a stream that was never opened");
            expectProtocolError(raw::frame(raw::Data, 0, 1, "x"), true);
        }
        {
            SCOPED_TRACE("headers that can't be decompressed");
            expectProtocolError(headers("\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF"), true);
        }
        {
            SCOPED_TRACE("upper-case header name");
            expectProtocolError(headers(raw::requestFields() + raw::field("Bad-Name", "1"), raw::endStream), false);
        }
        {
            SCOPED_TRACE("body shorter than its content-length");
            expectProtocolError(headers(raw::requestFields() + raw::field("content-length", "9"))
                    + raw::frame(raw::Data, raw::endStream, 1, "short"),
                false);
        }
        {
            SCOPED_TRACE("no method");
            expectProtocolError(headers(raw::field("x", "1"), raw::endStream), false);
        }
        for (const Exchange& exchange : exchanges_)
            EXPECT_EQ(exchange->request().path, "/still-there") << "a malformed request reached the handler";
    }

    // Guards against unbounded memory use by the request of a faulty or hostile client.
    TEST_F(Http2ServerFailureTest, RejectsRequestsOverLimit)
    {
        Http2Limits limits;
        limits.bodyBytes = 100'000;
        limits.headerBytes = 1000;
        listen(limits);
        const auto expectStatus = [&](HttpRequest request, int status) {
            const std::uint64_t before = server_->protocolErrors();
            const auto call = send(std::move(request));
            runUntilEnded({ call });
            ASSERT_TRUE(call->hasResponse()) << call->outcome->error().detail;
            EXPECT_EQ(call->response().status, status);
            EXPECT_EQ(server_->protocolErrors(), before + 1);
        };
        expectStatus(makePost("/", std::string(std::size_t(8) * 1024 * 1024, 'x')), 413);
        HttpRequest announced = makePost("/", std::string(100'001, 'x'));
        announced.headers = { { "content-length", "100001" } };
        expectStatus(announced, 413);
        HttpRequest longHeader = makePost("/", "x");
        longHeader.headers = { { "x-long", std::string(30'000, 'x') } };
        expectStatus(longHeader, 431);
        EXPECT_TRUE(exchanges_.empty());
        expectServerResponds();
    }

    // Guards against unbounded memory use by stream resets that a hostile client never reads.
    TEST_F(Http2ServerFailureTest, ClosesConnectionThatNeverReads)
    {
        listen();
        RawPeer unreadPeer(context_);
        unreadPeer.connect(server_->address(), RawPeer::Reading::Never);
        unreadPeer.write(std::string(raw::preface) + raw::frame(raw::Settings, 0, 0, ""));
        std::uint32_t stream = 1;
        runUntil([&] {
            std::string burst;
            for (const std::uint32_t end = stream + 400; stream < end; stream += 2)
                burst += raw::frame(raw::Headers, raw::endHeaders | raw::endStream, stream, raw::field("x", "1"));
            return !unreadPeer.write(burst);
        });
        EXPECT_LT(stream / 2, 1'000'000U) << "requests sent before the server closed the connection";
        EXPECT_TRUE(exchanges_.empty());
        expectServerResponds();
    }

    // Guards against a client that uses up the file descriptors of the server.
    TEST_F(Http2ServerFailureTest, ClosesConnectionsOverLimit)
    {
        Http2Limits limits;
        limits.connections = 1;
        listen(limits);
        RawPeer first(context_);
        connectPeer(first);
        runUntil([&] { return first.hasFrame(raw::Settings); });
        RawPeer second(context_);
        second.connect(server_->address());
        runUntil([&] { return second.isEnded(); });
        EXPECT_EQ(server_->protocolErrors(), 1U);
        first.close();
    }

    // Guards against a handler that continues to work for a client whose connection has closed.
    TEST_F(Http2ServerFailureTest, CancelsExchangeOnConnectionLoss)
    {
        listen();
        RawPeer peer(context_);
        connectPeer(peer);
        peer.write(raw::frame(raw::Headers, raw::endHeaders | raw::endStream, 1, raw::requestFields()));
        runUntilExchanges(1);
        bool isCancelled = false;
        exchanges_[0]->onCancelled([&] { isCancelled = true; });
        peer.close();
        runUntil([&] { return isCancelled; });
        exchanges_[0]->respond(makeResponse("too late"));
        expectServerResponds();
    }

    // Guards against an error without the address that can't be bound.
    TEST_F(Http2ServerFailureTest, ReportsAddressInUse)
    {
        listen();
        const auto second = Http2Server::listen(context_, server_->address(), [](auto&&) {});
        ASSERT_FALSE(second);
        EXPECT_EQ(second.error().code, ErrorCode::Unavailable);
        EXPECT_NE(second.error().detail.find(server_->address().toString()), std::string::npos);
    }

}
}
