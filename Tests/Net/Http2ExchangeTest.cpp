#include "Net/Http2Fixture.h"

namespace wisteriadock {
namespace {

    class Http2ExchangeTest : public Http2Fixture { };

    TEST_F(Http2ExchangeTest, carriesWholeMessagesBothWays)
    {
        listen();
        HttpRequest request = post("/fit?size=m", "a picture");
        request.headers = { { "x-request-id", "7" }, { "x-two", "a" }, { "x-two", "b" } };
        const auto call = send(request);
        runUntilExchanges(1);
        {
            SCOPED_TRACE("the handler sees the request as it was sent");
            const HttpRequest& seen = exchanges[0]->request();
            EXPECT_EQ(seen.method, "POST");
            EXPECT_EQ(seen.path, "/fit?size=m");
            EXPECT_EQ(seen.authority, "tryon");
            EXPECT_EQ(seen.headers, request.headers);
            EXPECT_EQ(seen.body, "a picture");
            EXPECT_EQ(server->openExchanges(), 1U);
        }
        HttpResponse response;
        response.status = 201;
        response.headers = { { "x-backend", "3" } };
        response.body = "fitted";
        exchanges[0]->respond(response);
        runUntilEnded({ call });
        {
            SCOPED_TRACE("the caller sees the answer as it was given");
            ASSERT_TRUE(call->hasAnswer());
            EXPECT_EQ(call->answer().status, 201);
            EXPECT_EQ(call->answer().header("x-backend"), "3");
            EXPECT_EQ(call->answer().body, "fitted");
            EXPECT_EQ(server->openExchanges(), 0U);
            EXPECT_EQ(client->openRequests(), 0U);
            EXPECT_GT(client->bytesTransferred(), 0U);
            EXPECT_GT(server->bytesTransferred(), 0U);
        }
    }

}
}
