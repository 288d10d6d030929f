#include "Net/Http2Fixture.h"

namespace wisteriadock {
namespace {

    class Http2ExchangeTest : public Http2Fixture { };

    TEST_F(Http2ExchangeTest, CarriesRequestAndResponse)
    {
        listen();
        HttpRequest request = makePost("/fit?size=m", "a picture");
        request.headers = { { "x-request-id", "7" }, { "x-two", "a" }, { "x-two", "b" } };
        const auto call = send(request);
        EXPECT_EQ(client_->openRequests(), 1U);
        runUntilExchanges(1);
        {
            SCOPED_TRACE("the handler receives the request unchanged");
            const HttpRequest& seen = exchanges_[0]->request();
            EXPECT_EQ(seen.method, "POST");
            EXPECT_EQ(seen.path, "/fit?size=m");
            EXPECT_EQ(seen.authority, "tryon");
            EXPECT_EQ(seen.headers, request.headers);
            EXPECT_EQ(seen.body, "a picture");
            EXPECT_EQ(server_->openExchanges(), 1U);
        }
        HttpResponse response;
        response.status = 201;
        response.headers = { { "x-backend", "3" } };
        response.body = "fitted";
        exchanges_[0]->respond(response);
        exchanges_[0]->respond(makeResponse("a second response is ignored"));
        runUntilEnded({ call });
        {
            SCOPED_TRACE("the client receives the response unchanged");
            ASSERT_TRUE(call->hasResponse());
            EXPECT_EQ(call->response().status, 201);
            EXPECT_EQ(call->response().header("x-backend"), "3");
            EXPECT_EQ(call->response().body, "fitted");
            EXPECT_EQ(server_->openExchanges(), 0U);
            EXPECT_EQ(client_->openRequests(), 0U);
            EXPECT_GT(client_->bytesTransferred(), 0U);
            EXPECT_GT(server_->bytesTransferred(), 0U);
        }
    }

    TEST_F(Http2ExchangeTest, ConcurrentStreamsAnsweredInAnyOrder)
    {
        constexpr std::size_t count = 300;
        listen();
        std::vector<std::shared_ptr<Call>> calls;
        for (std::size_t i = 0; i < count; ++i)
            calls.push_back(send(makePost("/" + std::to_string(i), std::to_string(i))));
        runUntilExchanges(count);
        EXPECT_EQ(client_->openRequests(), count);
        for (auto exchange = exchanges_.rbegin(); exchange != exchanges_.rend(); ++exchange)
            (*exchange)->respond(makeResponse("answer " + (*exchange)->request().body));
        runUntilEnded(calls);
        for (std::size_t i = 0; i < count; ++i) {
            ASSERT_TRUE(calls[i]->hasResponse());
            EXPECT_EQ(calls[i]->response().body, "answer " + std::to_string(i));
        }
    }

    TEST_F(Http2ExchangeTest, CarriesLargeBodies)
    {
        std::string picture(std::size_t(4) * 1024 * 1024, '\0');
        for (std::size_t i = 0; i < picture.size(); ++i)
            picture[i] = static_cast<char>(i * 31 + i / 4096);
        listen();
        const auto call = send(makePost("/", picture));
        runUntilExchanges(1);
        EXPECT_TRUE(exchanges_[0]->request().body == picture);
        exchanges_[0]->respond(makeResponse(exchanges_[0]->request().body));
        runUntilEnded({ call });
        ASSERT_TRUE(call->hasResponse());
        EXPECT_TRUE(call->response().body == picture);
    }

    TEST_F(Http2ExchangeTest, CarriesABodyThatResponsesShare)
    {
        HttpResponse response;
        response.sharedBody = std::make_shared<const std::string>(std::size_t(100) * 1024, 's');
        listen();
        const std::vector calls { send(makePost("/", "1")), send(makePost("/", "2")) };
        runUntilExchanges(calls.size());
        for (const auto& exchange : exchanges_)
            exchange->respond(response);
        runUntilEnded(calls);
        for (const auto& call : calls) {
            ASSERT_TRUE(call->hasResponse());
            EXPECT_TRUE(call->response().body == *response.sharedBody);
        }
    }

    TEST_F(Http2ExchangeTest, OmitsBodyOfHeadResponse)
    {
        listen();
        HttpRequest head;
        head.method = "HEAD";
        const auto call = send(head);
        runUntilExchanges(1);
        EXPECT_EQ(exchanges_[0]->request().authority, server_->address().toString());
        HttpResponse response = makeResponse("fitted");
        response.headers = { { "content-length", "6" } };
        response.sharedBody = std::make_shared<const std::string>(response.body);
        exchanges_[0]->respond(response);
        runUntilEnded({ call });
        ASSERT_TRUE(call->hasResponse());
        EXPECT_EQ(call->response().header("content-length"), "6");
        EXPECT_TRUE(call->response().body.empty());
    }

    // Guards against use of a client after one of its callbacks has destroyed it.
    TEST_F(Http2ExchangeTest, CallbackMayDestroyClient)
    {
        listen();
        std::vector<std::string> ends;
        const auto sendAndRecord = [&](const std::string& path, bool destroys) {
            client_->send(
                makePost(path, "x"), Clock::now() + std::chrono::minutes(1), [&, path, destroys](auto outcome) {
                    ends.push_back(path + (outcome ? " answered" : " failed"));
                    if (destroys)
                        client_.reset();
                });
        };
        sendAndRecord("/first", true);
        sendAndRecord("/answered-too", false);
        sendAndRecord("/open", false);
        runUntilExchanges(3);
        exchanges_[0]->respond(makeResponse("x"));
        exchanges_[1]->respond(makeResponse("x"));
        runUntil([&] { return !client_; });
        EXPECT_EQ(ends, (std::vector<std::string> { "/first answered", "/answered-too answered", "/open failed" }));
    }

    // Guards against use of a server after one of its callbacks has destroyed it.
    TEST_F(Http2ExchangeTest, CallbackMayDestroyServer)
    {
        listen();
        const auto call = send(makePost("/", "x"));
        runUntilExchanges(1);
        exchanges_[0]->onCancelled([&] { server_.reset(); });
        client_->cancel(call->id);
        runUntil([&] { return !server_; });
        exchanges_[0]->respond(makeResponse("ignored"));
        runUntilEnded({ call });
        EXPECT_EQ(call->failure(), HttpFailureKind::Cancelled);
    }

}
}
