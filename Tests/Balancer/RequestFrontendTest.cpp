#include "Balancer/RequestFrontend.h"

#include "Balancer/LoopbackTest.h"

#include <gtest/gtest.h>

#include <optional>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // A frontend with a caller and one backend server, over real connections.
    class RequestFrontendTest : public LoopbackTest {
    protected:
        void SetUp() override
        {
            const auto take
                = [this](const std::shared_ptr<Http2Exchange>& exchange) { exchanges_.push_back(exchange); };
            auto server = Http2Server::listen(context_, anyLoopbackPort, take);
            ASSERT_TRUE(server);
            server_ = std::move(server.value());

            const auto builtInPages = [](const std::shared_ptr<Http2Exchange>& exchange) {
                if (exchange->request().path != "/status")
                    return false;
                exchange->respond({ .status = 200, .headers = {}, .body = "own page" });
                return true;
            };
            auto frontend = RequestFrontend::listen(context_, anyLoopbackPort, {}, selector_, builtInPages);
            ASSERT_TRUE(frontend);
            frontend_ = std::move(frontend.value());
            apply(server_->address());
            caller_ = std::make_unique<Http2Client>(context_, frontend_->address());
        }

        void apply(Endpoint server)
        {
            Configuration configuration;
            configuration.services = { { .name = "tryon", .id = serviceIdOf("tryon"), .address = {} } };
            BackendServer backendServer;
            backendServer.name = "try1";
            backendServer.id = backendServerIdOf("try1");
            backendServer.service = serviceIdOf("tryon");
            backendServer.requestAddress = server;
            backendServer.slots = 1;
            configuration.backendServers = { backendServer };
            frontend_->applyConfiguration(std::make_shared<const Configuration>(configuration));
        }

        Http2Client::RequestId call(HttpRequest request)
        {
            answer_.reset();
            return caller_->send(std::move(request), Clock::now() + 20s,
                [this](HttpOutcome outcome) { answer_.emplace(std::move(outcome)); });
        }

        static HttpRequest confirmation()
        {
            return { .method = "POST",
                .path = "/confirmations?lens=4",
                .authority = "tryon",
                .headers = { { "idempotency-key", "k-17" }, { "x-optician", "Salote" } },
                .body = std::string(100'000, 'c') };
        }

        static HttpRequest statusRequestTo(std::string authority)
        {
            HttpRequest request;
            request.path = "/status";
            request.authority = std::move(authority);
            return request;
        }

        void awaitExchange()
        {
            runUntil([this] { return !exchanges_.empty(); });
        }

        const HttpResponse& awaitAnswer()
        {
            runUntil([this] { return answer_.has_value(); });
            EXPECT_TRUE(answer_->has_value());
            return answer_->value();
        }

        std::uint64_t countOf(RequestOutcomeKind outcome) const
        {
            return frontend_->counts()[static_cast<std::size_t>(outcome)];
        }

        BackendServerSelector selector_ { {}, 3 };
        std::vector<std::shared_ptr<Http2Exchange>> exchanges_;
        std::unique_ptr<Http2Server> server_;
        std::unique_ptr<RequestFrontend> frontend_;
        std::unique_ptr<Http2Client> caller_;
        std::optional<HttpOutcome> answer_;
    };

    TEST_F(RequestFrontendTest, PassesRequestAndResponseUnchanged)
    {
        call(confirmation());
        awaitExchange();
        {
            SCOPED_TRACE("the server sees what the caller sent");
            const HttpRequest& request = exchanges_.front()->request();
            EXPECT_EQ(request.method, "POST");
            EXPECT_EQ(request.path, "/confirmations?lens=4");
            EXPECT_EQ(request.authority, "tryon");
            EXPECT_EQ(request.header("idempotency-key"), "k-17");
            EXPECT_EQ(request.header("x-optician"), "Salote");
            EXPECT_EQ(request.body, std::string(100'000, 'c'));
        }
        exchanges_.front()->respond(
            { .status = 201, .headers = { { "location", "/confirmations/9" } }, .body = std::string(200'000, 'a') });
        {
            SCOPED_TRACE("the caller gets what the server answered");
            const HttpResponse& answer = awaitAnswer();
            EXPECT_EQ(answer.status, 201);
            EXPECT_EQ(answer.header("location"), "/confirmations/9");
            EXPECT_EQ(answer.body, std::string(200'000, 'a'));
            EXPECT_EQ(countOf(RequestOutcomeKind::Answered), 1U);
        }
    }

    TEST_F(RequestFrontendTest, ServesBuiltInPagesUnlessRequestNamesService)
    {
        call(statusRequestTo("b1"));
        EXPECT_EQ(awaitAnswer().body, "own page");

        call(statusRequestTo("tryon"));
        awaitExchange();
        exchanges_.front()->respond({ .status = 200, .headers = {}, .body = "the service's page" });
        EXPECT_EQ(awaitAnswer().body, "the service's page");
    }

    TEST_F(RequestFrontendTest, RefusesImmediatelyWithoutFreeSlot)
    {
        call(confirmation());
        awaitExchange();
        call(confirmation());
        const HttpResponse& answer = awaitAnswer();
        EXPECT_EQ(answer.status, 503);
        EXPECT_NE(answer.body.find(R"("executed":"no")"), std::string::npos);
        EXPECT_EQ(exchanges_.size(), 1U);
    }

    // Guards against server slots that stay busy with work whose caller has cancelled it.
    TEST_F(RequestFrontendTest, PassesCancellationToServer)
    {
        const auto id = call(confirmation());
        awaitExchange();
        bool cancelled = false;
        exchanges_.front()->onCancelled([&] { cancelled = true; });
        caller_->cancel(id);
        runUntil([&] { return cancelled; });

        SCOPED_TRACE("the slot is free again");
        runUntil([&] { return countOf(RequestOutcomeKind::Cancelled) == 1; });
        exchanges_.clear();
        call(confirmation());
        awaitExchange();
    }

    TEST_F(RequestFrontendTest, UnreachableServerIsReportedAsNotExecuted)
    {
        auto unused = Http2Server::listen(context_, anyLoopbackPort, [](const auto&) {});
        ASSERT_TRUE(unused);
        const Endpoint nobody = unused.value()->address();
        unused.value().reset();
        apply(nobody);
        call(confirmation());
        EXPECT_EQ(awaitAnswer().status, 503);
        EXPECT_NE(answer_->value().body.find(R"("executed":"no")"), std::string::npos);
    }

    TEST_F(RequestFrontendTest, DeadlineAfterSendingIsReportedAsUnknown)
    {
        HttpRequest request = confirmation();
        request.headers.push_back({ "x-deadline-milliseconds", "300" });
        call(request);
        awaitExchange();
        EXPECT_EQ(awaitAnswer().status, 504);
        EXPECT_NE(answer_->value().body.find(R"("executed":"unknown")"), std::string::npos);
    }

    TEST_F(RequestFrontendTest, ResetAfterSendingIsReportedAsUnknown)
    {
        call(confirmation());
        awaitExchange();
        exchanges_.clear();
        EXPECT_EQ(awaitAnswer().status, 502);
        EXPECT_NE(answer_->value().body.find(R"("executed":"unknown")"), std::string::npos);
    }

    // Guards against a baseline that hides double runs from experiments.
    TEST_F(RequestFrontendTest, BlindRetrySendsWorkAgain)
    {
        frontend_->retryBlindly();
        call(confirmation());
        awaitExchange();
        exchanges_.front().reset();
        runUntil([this] { return exchanges_.size() == 2; });
        exchanges_.back()->respond({ .status = 200, .headers = {}, .body = "ran twice" });
        EXPECT_EQ(awaitAnswer().body, "ran twice");
    }

    TEST_F(RequestFrontendTest, DrainEndsAfterLastResponse)
    {
        call(confirmation());
        awaitExchange();
        bool drained = false;
        frontend_->drain([&] { drained = true; });
        context_.restart();
        context_.poll();
        EXPECT_FALSE(drained);

        exchanges_.front()->respond({ .status = 200, .headers = {}, .body = "done" });
        EXPECT_EQ(awaitAnswer().body, "done");
        runUntil([&] { return drained; });
    }

}

}
