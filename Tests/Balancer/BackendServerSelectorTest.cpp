#include "Balancer/BackendServerSelector.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <map>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    class BackendServerSelectorTest : public testing::Test {
    protected:
        BackendServerSelectorTest()
        {
            configuration_.services = { { .name = "scanintake", .id = serviceIdOf("scanintake"), .address = {} },
                { .name = "tryon", .id = serviceIdOf("tryon"), .address = {} } };
            addServer("scan1", "scanintake", 1);
            addServer("try1", "tryon", 2);
            addServer("try2", "tryon", 2);
            apply();
        }

        void addServer(const std::string& name, std::string_view service, std::uint32_t slots)
        {
            BackendServer server;
            server.name = name;
            server.id = backendServerIdOf(name);
            server.service = serviceIdOf(service);
            server.requestAddress
                = { 0x7f000001, static_cast<std::uint16_t>(configuration_.backendServers.size() + 1) };
            server.slots = slots;
            configuration_.backendServers.push_back(server);
        }

        void apply() { selector_.applyConfiguration(std::make_shared<const Configuration>(configuration_)); }

        RequestDecision admit(const HttpRequest& request) { return selector_.admit(request, clock_.now()); }

        static HttpRequest requestTo(std::string authority)
        {
            HttpRequest request;
            request.authority = std::move(authority);
            return request;
        }

        static RequestProblem problemOf(const RequestDecision& decision)
        {
            const auto* problem = std::get_if<RequestProblem>(&decision);
            EXPECT_TRUE(problem) << "the request was forwarded";
            return problem ? *problem : RequestProblem {};
        }

        static BackendServerId serverOf(const RequestDecision& decision)
        {
            const auto* forwarded = std::get_if<ForwardRequest>(&decision);
            return forwarded ? forwarded->server : BackendServerId {};
        }

        RequestProblem fail(BackendServerId server, HttpFailureKind kind)
        {
            return selector_.failed(server, { kind, "" }, clock_.now());
        }

        ManualClock clock_;
        Configuration configuration_;
        BackendServerSelector selector_ { {}, 7 };
    };

    TEST_F(BackendServerSelectorTest, FindsServiceByHeaderOrAuthority)
    {
        EXPECT_EQ(serverOf(admit(requestTo("scanintake"))), backendServerIdOf("scan1"));
        selector_.finished(backendServerIdOf("scan1"));
        EXPECT_EQ(serverOf(admit(requestTo("scanintake:8080"))), backendServerIdOf("scan1"));
        selector_.finished(backendServerIdOf("scan1"));

        SCOPED_TRACE("the header has precedence over the authority");
        HttpRequest request = requestTo("tryon");
        request.headers = { { "x-service", "scanintake" } };
        EXPECT_EQ(serverOf(admit(request)), backendServerIdOf("scan1"));

        SCOPED_TRACE("an unknown service is not found");
        request.headers = { { "x-service", "scan" } };
        EXPECT_EQ(problemOf(admit(request)).status, 404);
        EXPECT_EQ(problemOf(admit(requestTo(""))).status, 404);
    }

    TEST_F(BackendServerSelectorTest, UsesFreeSlotsEvenlyAndThenRefuses)
    {
        std::map<std::uint32_t, int> uses;
        for (int i = 0; i < 4; ++i)
            ++uses[serverOf(admit(requestTo("tryon"))).value];
        EXPECT_EQ(uses[backendServerIdOf("try1").value], 2);
        EXPECT_EQ(uses[backendServerIdOf("try2").value], 2);

        const RequestProblem problem = problemOf(admit(requestTo("tryon")));
        EXPECT_EQ(problem.status, 503);
        EXPECT_EQ(problem.executed, Executed::No);
        ASSERT_TRUE(problem.retryAfter);
        EXPECT_GE(*problem.retryAfter, 1s);

        SCOPED_TRACE("a slot that is free again is used");
        selector_.finished(backendServerIdOf("try2"));
        EXPECT_EQ(serverOf(admit(requestTo("tryon"))), backendServerIdOf("try2"));
    }

    TEST_F(BackendServerSelectorTest, DrainingServerGetsNoNewRequests)
    {
        configuration_.backendServers[1].state = BackendServerState::Draining;
        apply();
        for (int i = 0; i < 2; ++i)
            EXPECT_EQ(serverOf(admit(requestTo("tryon"))), backendServerIdOf("try2"));
        EXPECT_EQ(problemOf(admit(requestTo("tryon"))).status, 503);
    }

    TEST_F(BackendServerSelectorTest, NonIdempotentMethodsRequireKey)
    {
        for (const auto* method : { "POST", "PATCH", "post", "FROB" }) {
            SCOPED_TRACE(method);
            HttpRequest request = requestTo("tryon");
            request.method = method;
            EXPECT_EQ(problemOf(admit(request)).status, 400);
            request.headers = { { "idempotency-key", "k1" } };
            const BackendServerId server = serverOf(admit(request));
            EXPECT_NE(server, BackendServerId {});
            selector_.finished(server);
        }
    }

    TEST_F(BackendServerSelectorTest, ReadsDeadlineHeader)
    {
        HttpRequest request = requestTo("tryon");
        EXPECT_EQ(std::get<ForwardRequest>(admit(request)).deadline, clock_.now() + 5s);
        request.headers = { { "x-deadline-milliseconds", "250" } };
        EXPECT_EQ(std::get<ForwardRequest>(admit(request)).deadline, clock_.now() + 250ms);
        for (const auto* text : { "0", "-1", "1s", "9999999", "99999999999999999999" }) {
            SCOPED_TRACE(text);
            request.headers = { { "x-deadline-milliseconds", text } };
            EXPECT_EQ(problemOf(admit(request)).status, 400);
        }
    }

    // Guards against reporting a request as not executed when its connection broke after it was sent.
    TEST_F(BackendServerSelectorTest, ReportsNotExecutedOnlyWhenProvable)
    {
        const auto executedAfter = [&](HttpFailureKind kind) {
            clock_.advance(10s);
            return fail(serverOf(admit(requestTo("scanintake"))), kind).executed;
        };
        EXPECT_EQ(executedAfter(HttpFailureKind::NotSent), Executed::No);
        EXPECT_EQ(executedAfter(HttpFailureKind::Refused), Executed::No);
        EXPECT_EQ(executedAfter(HttpFailureKind::Lost), Executed::Unknown);
        EXPECT_EQ(executedAfter(HttpFailureKind::DeadlineExceeded), Executed::Unknown);
        EXPECT_EQ(executedAfter(HttpFailureKind::Cancelled), Executed::Unknown);
        EXPECT_EQ(executedAfter(HttpFailureKind::Incomplete), Executed::Unknown);
    }

    // Guards against a dead server that attracts all requests because it always has the fewest open ones.
    TEST_F(BackendServerSelectorTest, UnreachableServerIsEjectedForSomeTime)
    {
        const BackendServerId dead = serverOf(admit(requestTo("tryon")));
        EXPECT_EQ(fail(dead, HttpFailureKind::NotSent).executed, Executed::No);
        for (int i = 0; i < 2; ++i)
            EXPECT_NE(serverOf(admit(requestTo("tryon"))), dead);
        EXPECT_EQ(problemOf(admit(requestTo("tryon"))).status, 503);

        SCOPED_TRACE("it is used again after the ejection time");
        clock_.advance(1s);
        EXPECT_EQ(serverOf(admit(requestTo("tryon"))), dead);
    }

    TEST_F(BackendServerSelectorTest, ProblemIsReturnedAsProblemJson)
    {
        const HttpResponse response = RequestProblem { .title = "busy", .retryAfter = 3s }.toResponse();
        EXPECT_EQ(response.status, 503);
        EXPECT_EQ(response.header("retry-after"), "3");
        EXPECT_EQ(response.header("content-type"), "application/problem+json");
        const auto body = nlohmann::json::parse(response.body);
        EXPECT_EQ(body.at("executed"), "no");
        EXPECT_EQ(body.at("title"), "busy");
        EXPECT_EQ(body.at("status"), 503);
    }

}

}
