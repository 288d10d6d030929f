#include "Net/AsioEndpoint.h"
#include "Net/Http2Fixture.h"
#include "Net/RawHttp2.h"

#include <boost/asio/ip/tcp.hpp>

namespace wisteriadock {
namespace {

    // Requests that must run at most once are retried only after NotSent and Refused, so the failure kind must tell
    // whether the server may have processed the request.
    class Http2ClientFailureTest : public Http2Fixture {
    protected:
        // Replaces the client by one that connects to the raw peer.
        void connectToPeer(Http2Limits limits = {})
        {
            client_ = std::make_unique<Http2Client>(context_, peer_.listen(), limits);
        }

        // Sends a request and runs the event loop until the peer has received it completely.
        std::shared_ptr<Call> sendToPeer()
        {
            auto call = send(makePost("/", "work"));
            runUntil([&] { return peer_.hasFrame(raw::Data); });
            peer_.write(raw::frame(raw::Settings, 0, 0, ""));
            return call;
        }

        HttpFailureKind failureOf(const std::shared_ptr<Call>& call)
        {
            runUntilEnded({ call });
            EXPECT_FALSE(call->hasResponse());
            return call->failure();
        }

        RawPeer peer_ { context_ };
    };

    // Guards against a refused connection being reported as if the request could have been sent.
    TEST_F(Http2ClientFailureTest, ConnectionRefusedIsNotSent)
    {
        boost::asio::ip::tcp::acceptor closedPort(context_);
        closedPort.open(boost::asio::ip::tcp::v4());
        closedPort.bind(toTcp(loopback));
        client_ = std::make_unique<Http2Client>(context_, fromAsio(closedPort.local_endpoint()));
        EXPECT_EQ(failureOf(send(makePost("/", "work"))), HttpFailureKind::NotSent);
    }

    // Guards against waiting past connectTimeout for a VM whose accept queue is full.
    TEST_F(Http2ClientFailureTest, ConnectTimeoutIsNotSent)
    {
        boost::asio::ip::tcp::acceptor fullListener(context_);
        fullListener.open(boost::asio::ip::tcp::v4());
        fullListener.bind(toTcp(loopback));
        fullListener.listen(0);
        boost::asio::ip::tcp::socket filler(context_);
        filler.connect(fullListener.local_endpoint());
        Http2Limits limits;
        limits.connectTimeout = std::chrono::milliseconds(50);
        client_ = std::make_unique<Http2Client>(context_, fromAsio(fullListener.local_endpoint()), limits);
        EXPECT_EQ(failureOf(send(makePost("/", "work"))), HttpFailureKind::NotSent);
    }

    // Guards against sending a request that was cancelled or expired while the connection was being established.
    TEST_F(Http2ClientFailureTest, CancelOrDeadlineBeforeConnectIsNotSent)
    {
        listen();
        const auto cancelled = send(makePost("/cancelled", "work"));
        client_->cancel(cancelled->id);
        EXPECT_FALSE(cancelled->hasEnded()) << "the callback ran inside cancel()";
        EXPECT_EQ(failureOf(cancelled), HttpFailureKind::NotSent);
        EXPECT_EQ(failureOf(send(makePost("/expired", "work"), Duration::zero())), HttpFailureKind::NotSent);
        expectServerResponds();
        EXPECT_EQ(exchanges_.size(), 1U) << "the server received a cancelled or expired request";
    }

    // Guards against sending a cancelled request that was queued because of SETTINGS_MAX_CONCURRENT_STREAMS.
    TEST_F(Http2ClientFailureTest, CancelOfQueuedRequestIsNotSent)
    {
        Http2Limits limits;
        limits.concurrentStreams = 1;
        listen(limits);
        const auto first = send(makePost("/first", "work"));
        runUntilExchanges(1);
        const auto second = send(makePost("/second", "work"));
        const auto third = send(makePost("/third", "work"));
        client_->cancel(second->id);
        EXPECT_EQ(failureOf(second), HttpFailureKind::NotSent);
        exchanges_[0]->respond(makeResponse("x"));
        runUntilExchanges(2);
        EXPECT_EQ(exchanges_[1]->request().path, "/third");
        exchanges_[1]->respond(makeResponse("x"));
        runUntilEnded({ first, third });
        EXPECT_TRUE(first->hasResponse() && third->hasResponse());
    }

    // Guards against a server that continues to process a request whose deadline has passed.
    TEST_F(Http2ClientFailureTest, DeadlineResetsStream)
    {
        listen();
        const auto call = send(makePost("/", "work"), std::chrono::milliseconds(200));
        runUntilExchanges(1);
        bool isCancelled = false;
        exchanges_[0]->onCancelled([&] { isCancelled = true; });
        EXPECT_EQ(failureOf(call), HttpFailureKind::DeadlineExceeded);
        runUntil([&] { return isCancelled; });
        EXPECT_EQ(server_->openExchanges(), 0U);
    }

    // Guards against a server that continues to process a cancelled request, or that reports the cancellation twice.
    TEST_F(Http2ClientFailureTest, CancelResetsStream)
    {
        listen();
        const auto call = send(makePost("/", "work"));
        runUntilExchanges(1);
        int cancels = 0;
        exchanges_[0]->onCancelled([&] { ++cancels; });
        client_->cancel(call->id);
        client_->cancel(call->id);
        EXPECT_EQ(failureOf(call), HttpFailureKind::Cancelled);
        runUntil([&] { return cancels > 0; });
        client_.reset();
        expectServerResponds();
        EXPECT_EQ(cancels, 1) << "closing the connection cancelled the exchange again";
    }

    // Guards against confusing a refused request with one whose handler dropped the exchange without a response.
    TEST_F(Http2ClientFailureTest, DistinguishesRefusedFromDroppedExchange)
    {
        listen();
        const auto refused = send(makePost("/", "work"));
        runUntilExchanges(1);
        exchanges_[0]->refuse();
        EXPECT_EQ(failureOf(refused), HttpFailureKind::Refused);
        const auto dropped = send(makePost("/", "work"));
        runUntilExchanges(2);
        exchanges_.clear();
        EXPECT_EQ(failureOf(dropped), HttpFailureKind::Lost);
    }

    // Guards against reporting a request as refused although GOAWAY lists its stream as possibly processed.
    TEST_F(Http2ClientFailureTest, GoAwayRefusesOnlyLaterStreams)
    {
        connectToPeer();
        const auto first = sendToPeer();
        const auto second = send(makePost("/", "more work"));
        runUntil([&] { return peer_.countFrames(raw::Data) == 2; });
        peer_.write(raw::frame(raw::GoAway, 0, 0, raw::encodeUint32(1) + raw::encodeUint32(0)));
        EXPECT_EQ(failureOf(second), HttpFailureKind::Refused);
        EXPECT_FALSE(first->hasEnded());
        peer_.close();
        EXPECT_EQ(failureOf(first), HttpFailureKind::Lost);
    }

    // Guards against a request on a lost connection being reported as unprocessed, and against a missing reconnect.
    TEST_F(Http2ClientFailureTest, ReconnectsAfterConnectionLoss)
    {
        listen();
        const auto lost = send(makePost("/", "work"));
        runUntilExchanges(1);
        bool isCancelled = false;
        exchanges_[0]->onCancelled([&] { isCancelled = true; });
        const Endpoint address = server_->address();
        server_.reset();
        EXPECT_EQ(failureOf(lost), HttpFailureKind::Lost);
        EXPECT_FALSE(isCancelled) << "the destroyed server ran a callback";

        const auto keepExchange = [this](Exchange exchange) { exchanges_.push_back(std::move(exchange)); };
        server_ = Http2Server::listen(context_, address, keepExchange).value();
        const auto next = send(makePost("/", "work"));
        runUntilExchanges(2);
        exchanges_[1]->respond(makeResponse("back again"));
        runUntilEnded({ next });
        EXPECT_TRUE(next->hasResponse());
    }

    // Guards against a truncated response being reported as a success.
    TEST_F(Http2ClientFailureTest, TruncatedResponseIsIncomplete)
    {
        const std::string headers
            = raw::frame(raw::Headers, raw::endHeaders, 1, raw::responseFields() + raw::field("content-length", "100"));
        const std::string half = headers + raw::frame(raw::Data, 0, 1, "half");
        const std::string refusedStream = raw::encodeUint32(7);
        {
            SCOPED_TRACE("the connection closes");
            connectToPeer();
            const auto call = sendToPeer();
            peer_.write(half);
            peer_.close();
            EXPECT_EQ(failureOf(call), HttpFailureKind::Incomplete);
        }
        for (const std::string& end : { raw::frame(raw::Reset, 0, 1, raw::encodeUint32(2)),
                 raw::frame(raw::Reset, 0, 1, refusedStream), raw::frame(raw::Data, raw::endStream, 1, "short"),
                 raw::frame(raw::Headers, raw::endHeaders | raw::endStream, 1, raw::field("x-trailer", "1")),
                 std::string("no frame at all, so the connection is given up"),
                 raw::frame(raw::Headers, raw::endHeaders, 1, raw::field("Upper-Case", "1")) }) {
            SCOPED_TRACE("the peer sends " + testing::PrintToString(end));
            RawPeer next(context_);
            client_ = std::make_unique<Http2Client>(context_, next.listen());
            const auto call = send(makePost("/", "work"));
            runUntil([&] { return next.hasFrame(raw::Data); });
            next.write(raw::frame(raw::Settings, 0, 0, ""));
            next.write(half);
            next.write(end);
            EXPECT_EQ(failureOf(call), HttpFailureKind::Incomplete);
        }
    }

    // Guards against unbounded memory use by the response of a faulty backend server.
    TEST_F(Http2ClientFailureTest, ResponseOverLimitIsIncomplete)
    {
        listen();
        Http2Limits limits;
        limits.bodyBytes = 1000;
        limits.headerBytes = 1000;
        Http2Client limitedClient(context_, server_->address(), limits);
        const auto longBody = sendWith(limitedClient, makePost("/", "work"));
        const auto longHeader = sendWith(limitedClient, makePost("/", "work"));
        runUntilExchanges(2);
        exchanges_[0]->respond(makeResponse(std::string(1001, 'x')));
        HttpResponse response;
        response.headers = { { "x-long", std::string(1001, 'x') } };
        exchanges_[1]->respond(response);
        EXPECT_EQ(failureOf(longBody), HttpFailureKind::Incomplete);
        EXPECT_EQ(failureOf(longHeader), HttpFailureKind::Incomplete);
    }

    // Guards against callbacks that run after the client was destroyed.
    TEST_F(Http2ClientFailureTest, DestructorEndsOpenRequests)
    {
        Http2Limits limits;
        limits.concurrentStreams = 1;
        listen(limits);
        const auto sent = send(makePost("/", "work"));
        runUntilExchanges(1);
        const auto waiting = send(makePost("/", "work"));
        client_.reset();
        ASSERT_TRUE(sent->hasEnded() && waiting->hasEnded());
        EXPECT_EQ(sent->failure(), HttpFailureKind::Cancelled);
        EXPECT_EQ(waiting->failure(), HttpFailureKind::NotSent);
    }

}
}
