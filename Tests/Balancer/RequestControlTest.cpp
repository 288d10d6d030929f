#include "Balancer/BalancerGroupTest.h"

#include <nlohmann/json.hpp>

namespace wisteriadock {

namespace {

    // A long response, so that truncated or mixed responses are detected.
    HttpResponse answerOf(const std::string& mark)
    {
        return {
            .status = 201, .headers = { { "location", "/confirmations/9" } }, .body = std::string(200'000, 'a') + mark
        };
    }

    class RequestControlTest : public BalancerGroupTest { };

    // Guards against running a key again when its caller retries at another balancer.
    TEST_F(RequestControlTest, SameKeyAtSeveralBalancersRunsOnce)
    {
        start(3);
        const Call first = call(0, confirmation("order-17"));
        awaitRuns(1);
        const Call second = call(1, confirmation("order-17"));
        const Call third = call(2, confirmation("order-17"));
        // A later key through the same balancers shows that the attempts above have been handled.
        const Call other = call(1, confirmation("order-18"));
        const Call another = call(2, confirmation("order-19"));
        awaitRuns(3);

        runs_[0]->respond(answerOf("17"));
        for (const Call& each : { first, second, third }) {
            const HttpResponse answer = await(each);
            EXPECT_EQ(answer.status, 201);
            EXPECT_EQ(answer.header("location"), "/confirmations/9");
            EXPECT_EQ(answer.body, answerOf("17").body);
            EXPECT_EQ(answer.header("x-wisteriadock-ending"), "");
        }
        {
            SCOPED_TRACE("a retry after the response, which was too long to be stored");
            const HttpResponse retried = await(call(1, confirmation("order-17")));
            EXPECT_EQ(retried.status, 409);
            EXPECT_EQ(executedOf(retried), "unknown");
        }
        EXPECT_EQ(runs_.size(), 3U);
    }

    // Guards against losing the claim of a key together with its owner, so that a retry runs the work again.
    TEST_F(RequestControlTest, KeyDoesNotRunAgainAfterItsOwnerDies)
    {
        start(3);
        const Call first = call(0, confirmation("order-17"));
        awaitRuns(1);
        const std::size_t owner = ownerOf("order-17");
        const std::size_t next = (owner + 1) % 3;
        const Call joined = call(next, confirmation("order-17"));
        stopAbruptly(owner);
        publishMembers();
        {
            SCOPED_TRACE("a caller that waits for the owner immediately gets unknown");
            const HttpResponse answer = await(joined);
            EXPECT_EQ(executedOf(answer), "unknown");
        }
        {
            SCOPED_TRACE("a retry with the next owner");
            const HttpResponse answer = await(call((owner + 2) % 3, confirmation("order-17")));
            EXPECT_EQ(executedOf(answer), "unknown");
        }
        std::size_t runsOfKey = 0;
        for (const auto& run : runs_)
            runsOfKey += run->request().header("idempotency-key") == "order-17" ? 1 : 0;
        EXPECT_EQ(runsOfKey, 1U);
    }

    // Guards against reporting a key as not run that has run through another balancer.
    TEST_F(RequestControlTest, OnlyKeysThatDidNotRunAreReportedAsNotRun)
    {
        start(2);
        const Call ran = call(0, confirmation("order-17"));
        awaitRuns(1);
        runs_[0]->respond(answerOf("17"));
        EXPECT_EQ(await(ran).status, 201);
        configure(BackendServerState::Draining);
        for (std::size_t balancer : { 0, 1 }) {
            const HttpResponse fresh = await(call(balancer, confirmation("order-18-" + std::to_string(balancer))));
            EXPECT_EQ(fresh.status, 503);
            EXPECT_EQ(executedOf(fresh), "no");
            EXPECT_FALSE(fresh.header("retry-after").empty());
            EXPECT_EQ(executedOf(await(call(balancer, confirmation("order-17")))), "unknown");

            HttpRequest late = confirmation("order-17");
            late.headers.push_back({ "x-deadline-milliseconds", "0" });
            const HttpResponse absurd = await(call(balancer, late));
            EXPECT_EQ(absurd.status / 100, 4);
            EXPECT_EQ(executedOf(absurd), "unknown");
        }
        EXPECT_EQ(runs_.size(), 1U);
    }

    // Guards against a planned stop that cuts off work whose caller waits at another balancer.
    TEST_F(RequestControlTest, PlannedStopWaitsForRunningWork)
    {
        start(2);
        const Call warmUp = call(0, confirmation("order-16"));
        awaitRuns(1);
        runs_[0]->respond(answerOf("16"));
        await(warmUp);
        const std::size_t owner = ownerOf("order-17");
        RequestControl& leaving = *balancers_[owner].control;
        const Call waiting = call(1 - owner, confirmation("order-17"));
        awaitRuns(2);

        EXPECT_FALSE(leaving.isReleased(Clock::now()));
        balancers_[owner].member.state = MemberState::Leaving;
        publishMembers();
        runUntil([&] { return leaving.isReleased(Clock::now()); });
        EXPECT_FALSE(leaving.isIdle());

        runs_[1]->respond(answerOf("17"));
        EXPECT_EQ(await(waiting).body, answerOf("17").body);
        runUntil([&] { return leaving.isIdle(); });
        {
            SCOPED_TRACE("the successor knows that the key ran");
            stopAbruptly(owner);
            publishMembers();
            EXPECT_EQ(executedOf(await(call(1 - owner, confirmation("order-17")))), "unknown");
            EXPECT_EQ(runs_.size(), 2U);
        }
    }

    TEST_F(RequestControlTest, InvalidRequestsAreRejectedWithoutRunning)
    {
        start(1);
        const HttpResponse noKey = await(call(0, confirmation("")));
        EXPECT_EQ(noKey.status, 400);
        EXPECT_EQ(executedOf(noKey), "no");
        EXPECT_EQ(await(call(0, confirmation(std::string(300, 'k')))).status, 400);

        HttpRequest foreign = confirmation("order-17");
        foreign.authority = "nowhere";
        const HttpResponse unknownService = await(call(0, foreign));
        EXPECT_EQ(unknownService.status, 404);
        EXPECT_EQ(executedOf(unknownService), "no");
        EXPECT_EQ(runs_.size(), 0U);
    }

    // Guards against running a key outside its home zone when that zone is unreachable.
    TEST_F(RequestControlTest, KeysStayInTheirHomeZone)
    {
        start(4, { "walu", "nabua" });
        const Call near = call(0, confirmation("walu.order-17"));
        const Call far = call(0, confirmation("nabua.order-17"));
        awaitRuns(2);
        for (const auto& run : runs_)
            run->respond(
                { .status = 200, .headers = {}, .body = std::string(run->request().header("idempotency-key")) });
        EXPECT_EQ(await(near).body, "walu.order-17");
        EXPECT_EQ(await(far).body, "nabua.order-17");

        stopAbruptly(1);
        stopAbruptly(3);
        publishMembers();
        const HttpResponse refused = await(call(0, confirmation("nabua.order-18")));
        EXPECT_EQ(refused.status, 503);
        EXPECT_EQ(executedOf(refused), "unknown");
        EXPECT_FALSE(refused.header("retry-after").empty());
        const Call stillNear = call(2, confirmation("walu.order-18"));
        awaitRuns(3);
        runs_[2]->respond({ .status = 200, .headers = {}, .body = "done" });
        EXPECT_EQ(await(stillNear).body, "done");
    }

    TEST_F(RequestControlTest, TicketsServeAsKeys)
    {
        start(2);
        HttpRequest request;
        request.path = "/wisteriadock/ticket";
        request.authority = "b0";
        HttpResponse issued;
        do
            issued = await(call(0, request));
        while (issued.status == 503);
        const std::string ticket = nlohmann::json::parse(issued.body).at("ticket");
        EXPECT_TRUE(ticket.starts_with("walu.e"));
        const Call used = call(1, confirmation(ticket));
        awaitRuns(1);
        runs_[0]->respond({ .status = 200, .headers = {}, .body = "done" });
        EXPECT_EQ(await(used).body, "done");
        EXPECT_EQ(await(call(0, confirmation(ticket))).body, "done");
        EXPECT_EQ(runs_.size(), 1U);
    }

    // Guards against returning a 503 although the work could be sent again, and against resending work that may have
    // run.
    TEST_F(RequestControlTest, ResendsOnlyWorkThatServerReportsAsNotRun)
    {
        start(1);
        const Call shed = call(0, confirmation("order-17"));
        awaitRuns(1);
        runs_[0]->respond({ .status = 503, .headers = { { "x-executed", "no" } }, .body = {} });
        awaitRuns(2);
        runs_[1]->respond({ .status = 200, .headers = {}, .body = "done" });
        EXPECT_EQ(await(shed).body, "done");

        const Call lost = call(0, confirmation("order-18"));
        awaitRuns(3);
        runs_[2].reset();
        EXPECT_EQ(executedOf(await(lost)), "unknown");
        EXPECT_EQ(runs_.size(), 3U);
    }

}

}
