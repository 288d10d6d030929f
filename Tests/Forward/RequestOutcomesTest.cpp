#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    TEST(RequestOutcomesTest, FailingShareNeedsSeveralFailuresAndDecays)
    {
        ManualClock clock;
        RequestOutcomes outcomes;
        EXPECT_EQ(outcomes.failingShare(clock.now()), 0.0F);
        outcomes.note(false, clock.now());
        EXPECT_LT(outcomes.failingShare(clock.now()), 0.35F);
        for (int i = 0; i < 10; ++i)
            outcomes.note(false, clock.now());
        const float many = outcomes.failingShare(clock.now());
        EXPECT_GT(many, 0.7F);
        {
            SCOPED_TRACE("counts are halved after the half-life");
            clock.advance(RequestOutcomes::halfLife);
            EXPECT_NEAR(outcomes.unanswered(clock.now()), 5.5F, 0.01F);
            EXPECT_LT(outcomes.failingShare(clock.now()), many);
        }
        {
            SCOPED_TRACE("answers reduce the failing share");
            for (int i = 0; i < 50; ++i)
                outcomes.note(true, clock.now());
            EXPECT_LT(outcomes.failingShare(clock.now()), 0.1F);
        }
    }

    struct UnansweredRequestsTest : testing::Test, ForwardFixture {
        UnansweredRequestsTest()
        {
            router.applyConfiguration(configuration(3));
            for (std::uint64_t number = 1; number <= 4; ++number)
                put(server(number));
        }

        KnownServer* serverOf(std::uint32_t token) { return router.directory().findByToken(token); }

        // Runs a flow with one request, which the failing server leaves unanswered. Returns the id of the flow's
        // server.
        std::string serveOneFlow(std::uint32_t caller, const std::string& failing)
        {
            const std::uint32_t token = openFlow(caller);
            std::string id = serverOf(token)->entry.id;
            route(data(caller, token));
            clock.advance(50ms);
            TokenPacket end = data(caller, token, 1101, id == failing ? 5001 : 5301, 0);
            end.finishes = true;
            route(end);
            return id;
        }
    };

    // Guards against preferring a server that opens flows but answers no requests, since it looks idle.
    TEST_F(UnansweredRequestsTest, ServerWithUnansweredRequestsGetsFewFlows)
    {
        const std::string failing = server(2).id;
        std::map<std::string, int> flows;
        for (std::uint32_t caller = 0; caller < 400; ++caller)
            ++flows[serveOneFlow(caller, failing)];
        EXPECT_LT(flows[failing], 20);
        {
            SCOPED_TRACE("it gets its share of flows again once it answers");
            flows.clear();
            for (std::uint32_t caller = 400; caller < 1200; ++caller)
                ++flows[serveOneFlow(caller, "")];
            EXPECT_GT(flows[failing], 100);
        }
    }

    TEST_F(UnansweredRequestsTest, AllServersGetFlowsIfAllFailAlike)
    {
        std::map<std::string, int> flows;
        for (std::uint32_t caller = 0; caller < 200; ++caller) {
            const std::uint32_t token = openFlow(caller);
            ++flows[serverOf(token)->entry.id];
            route(data(caller, token));
            clock.advance(20ms);
            TokenPacket end = data(caller, token, 1101, 5001, 0);
            end.finishes = true;
            route(end);
        }
        for (const auto& [id, count] : flows)
            EXPECT_GT(count, 30) << id;
    }

    TEST_F(UnansweredRequestsTest, StartAndEndOfFailingAreReportedOnce)
    {
        const std::uint32_t token = openFlow(1);
        const KnownServer* failing = serverOf(token);
        for (std::uint32_t caller = 2; caller < 5; ++caller) {
            route(data(caller, token));
            TokenPacket end = data(caller, token, 1101, 5001, 0);
            end.finishes = true;
            route(end);
        }
        router.tick(clock.now());
        const auto started = router.takeFailingChanges();
        ASSERT_EQ(started.size(), 1U);
        EXPECT_EQ(started[0].server, failing->entry.id);
        EXPECT_TRUE(started[0].isFailing);
        router.tick(clock.now());
        EXPECT_TRUE(router.takeFailingChanges().empty());
        clock.advance(30s);
        router.tick(clock.now());
        const auto ended = router.takeFailingChanges();
        ASSERT_EQ(ended.size(), 1U);
        EXPECT_FALSE(ended[0].isFailing);
    }

    TEST_F(UnansweredRequestsTest, RequestCountsAsUnansweredAfterTheAnswerTimeout)
    {
        const std::uint32_t token = openFlow(1);
        route(data(1, token));
        clock.advance(OpenFlowTable::answerTimeout + 10ms);
        router.tick(clock.now());
        router.tick(clock.now());
        EXPECT_FLOAT_EQ(serverOf(token)->seen.outcomes.unanswered(clock.now()), 1.0F);
        {
            SCOPED_TRACE("a late answer does not count as answered");
            route(data(1, token, 1101, 5301, 0));
            EXPECT_FLOAT_EQ(serverOf(token)->seen.outcomes.answered(clock.now()), 0.0F);
        }
    }

}

}
