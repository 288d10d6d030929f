#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    TEST(RequestOutcomesTest, aFewFailuresProveLittleAndFadeWithTime)
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
            SCOPED_TRACE("halved after the half-life");
            clock.advance(RequestOutcomes::halfLife);
            EXPECT_NEAR(outcomes.unanswered(clock.now()), 5.5F, 0.01F);
            EXPECT_LT(outcomes.failingShare(clock.now()), many);
        }
        {
            SCOPED_TRACE("answers count against failures");
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

        // A flow with one request, which all servers but the bad one answer. Callers of that one give up.
        std::string serveOneFlow(std::uint32_t caller, const std::string& bad)
        {
            const std::uint32_t token = openFlow(caller);
            std::string id = serverOf(token)->entry.id;
            route(data(caller, token));
            clock.advance(50ms);
            TokenPacket end = data(caller, token, 1101, id == bad ? 5001 : 5301, 0);
            end.finishes = true;
            route(end);
            return id;
        }
    };

    // Symptom: requests of new flows failed again and again at the same server while others had nothing to do.
    // Sequence: a server takes flows, answers their openings, and leaves their requests unanswered.
    // Cause: only openings without an answer counted against a server, and one that has no work in progress looks idle.
    TEST_F(UnansweredRequestsTest, aServerThatLeavesRequestsUnansweredIsSpared)
    {
        const std::string bad = server(2).id;
        std::map<std::string, int> flows;
        for (std::uint32_t caller = 0; caller < 400; ++caller)
            ++flows[serveOneFlow(caller, bad)];
        EXPECT_LT(flows[bad], 20);
        {
            SCOPED_TRACE("it is tried again and has its share back once it answers");
            flows.clear();
            for (std::uint32_t caller = 400; caller < 1200; ++caller)
                ++flows[serveOneFlow(caller, "")];
            EXPECT_GT(flows[bad], 100);
        }
    }

    TEST_F(UnansweredRequestsTest, whenAllFailAlikeNoneIsSpared)
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

    TEST_F(UnansweredRequestsTest, aServerThatBeginsToFailIsToldOnceAndAgainWhenItAnswers)
    {
        KnownServer* failing = serverOf(openFlow(1));
        for (int i = 0; i < 3; ++i)
            failing->seen.outcomes.note(false, clock.now());
        router.tick(clock.now());
        const auto begins = router.takeFailingChanges();
        ASSERT_EQ(begins.size(), 1U);
        EXPECT_EQ(begins[0].server, failing->entry.id);
        EXPECT_TRUE(begins[0].isFailing);
        router.tick(clock.now());
        EXPECT_TRUE(router.takeFailingChanges().empty());
        clock.advance(30s);
        router.tick(clock.now());
        const auto ends = router.takeFailingChanges();
        ASSERT_EQ(ends.size(), 1U);
        EXPECT_FALSE(ends[0].isFailing);
    }

    TEST_F(UnansweredRequestsTest, aRequestWithoutAnAnswerCountsBeforeItsCallerGivesUp)
    {
        const std::uint32_t token = openFlow(1);
        route(data(1, token));
        clock.advance(OpenFlowTable::answerTimeout + 10ms);
        router.tick(clock.now());
        router.tick(clock.now());
        EXPECT_FLOAT_EQ(serverOf(token)->seen.outcomes.unanswered(clock.now()), 1.0F);
        {
            SCOPED_TRACE("its late answer is no success");
            route(data(1, token, 1101, 5301, 0));
            EXPECT_FLOAT_EQ(serverOf(token)->seen.outcomes.answered(clock.now()), 0.0F);
        }
    }

}

}
