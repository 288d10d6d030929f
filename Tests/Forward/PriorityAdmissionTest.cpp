#include "Forward/PriorityAdmission.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct PriorityAdmissionTest : testing::Test {
        ManualClock clock;
        PriorityAdmission admission;
        std::vector<ZoneSlots> zones { { "a", 100 } };
        double lateShare = 0;

        // Arrivals of each priority relative to the rate that the slots can serve, with this share of attempts
        // rejected.
        static ServiceLoad load(float urgent, float other, float rejectedShare, float inProgress)
        {
            ServiceLoad load;
            load.callerZones = { "a" };
            const float rate = 2500;
            const float served = std::min(1.0F, 1 / (urgent + other));
            for (const auto& [priority, share] : { std::pair { 0U, urgent }, { 1U, other } }) {
                RequestLoad row;
                row.inProgress = inProgress * share / (urgent + other);
                row.served = share * rate * served;
                // Counts again as arrivals in the given amount: accepted requests plus a third of the rejected
                // attempts.
                row.rejected = share * rate * rejectedShare;
                row.begun = share * rate + row.rejected * 2 / 3;
                load.rows.push_back({ "a", "a", priority, row });
            }
            return load;
        }

        void update(const ServiceLoad& load)
        {
            clock.advance(250ms);
            admission.update("tryon", ServiceDemand(load, zones), { 0, 1 }, lateShare, clock.now());
        }
        void updateFor(std::chrono::milliseconds time, const ServiceLoad& load)
        {
            for (; time > 0ms; time -= 250ms)
                update(load);
        }
        double refusedShare(std::uint32_t priority) const
        {
            int refused = 0;
            for (std::uint32_t caller = 0; caller < 2000; ++caller)
                refused += admission.isRefused("tryon", priority, { caller, 40001 }, clock.now());
            return refused / 2000.0;
        }
    };

    // Guards against refusals only because all slots are in use, and against those for a queue that costs no one.
    TEST_F(PriorityAdmissionTest, NothingIsRefusedWhileServersServeAll)
    {
        updateFor(10s, load(0.4F, 0.6F, 0, 200));
        EXPECT_EQ(admission.levelOf("tryon"), 0);
        {
            SCOPED_TRACE("rejections by a few full servers while there are free slots");
            updateFor(10s, load(0.4F, 0.8F, 0.1F, 90));
            EXPECT_EQ(admission.levelOf("tryon"), 0);
        }
        {
            SCOPED_TRACE("answers near the target latency without a queue");
            lateShare = 0.5;
            updateFor(10s, load(0.4F, 0.6F, 0, 190));
            EXPECT_EQ(admission.levelOf("tryon"), 0);
        }
        EXPECT_EQ(refusedShare(1), 0);
        EXPECT_TRUE(admission.takeChanges().empty());
    }

    // Guards against refusals of urgent flows while less urgent ones are admitted.
    TEST_F(PriorityAdmissionTest, LeastUrgentPriorityIsRefusedFirst)
    {
        update(load(0.4F, 1.2F, 0.5F, 400));
        update(load(0.4F, 1.2F, 0.5F, 400));
        EXPECT_NEAR(admission.levelOf("tryon"), 0.2, 0.01) << "the level rises by at most 0.8 per second";
        update(load(0.4F, 1.2F, 0.5F, 400));
        update(load(0.4F, 1.2F, 0.5F, 400));
        // 1.6 of the slots are asked for, and 0.58 of these are refused, all of priority 1.
        EXPECT_NEAR(admission.levelOf("tryon"), 0.58 / 1.2, 0.03);
        EXPECT_EQ(refusedShare(0), 0);
        EXPECT_NEAR(refusedShare(1), admission.levelOf("tryon"), 0.04);
        updateFor(5s, load(1.6F, 0.4F, 0.5F, 400));
        EXPECT_GT(admission.levelOf("tryon"), 1);
        EXPECT_EQ(refusedShare(1), 1);
        EXPECT_GT(refusedShare(0), 0.2);
        const auto changes = admission.takeChanges();
        ASSERT_EQ(changes.size(), 1U);
        EXPECT_GE(changes.front().level, PriorityAdmission::reportedLevel);
    }

    // Guards against oscillation: the load is a second old, so what it shows is the effect of the level at that time.
    TEST_F(PriorityAdmissionTest, LevelIsNotRaisedTwiceForOneExcess)
    {
        updateFor(1500ms, load(0.4F, 1.2F, 0.5F, 400));
        const float level = admission.levelOf("tryon");
        // The former level was in force when this was measured.
        updateFor(500ms, load(0.4F, 1.2F * (1 - level), 0.06F, 300));
        EXPECT_NEAR(admission.levelOf("tryon"), level, 0.13);
    }

    TEST_F(PriorityAdmissionTest, LevelFallsSlowlyAndAtOnceWhenThereIsRoom)
    {
        updateFor(2s, load(0.4F, 1.2F, 0.5F, 400));
        const float level = admission.levelOf("tryon");
        update(load(0.4F, 0.4F, 0, 80));
        EXPECT_NEAR(admission.levelOf("tryon"), level - 0.0625, 0.001);
        update(load(0.2F, 0.3F, 0, 50));
        EXPECT_EQ(admission.levelOf("tryon"), 0);
        EXPECT_EQ(refusedShare(1), 0) << "half of the slots are free";
        updateFor(1s, load(0.2F, 0.3F, 0, 50));
        EXPECT_EQ(admission.takeChanges().back().level, 0);
    }

    // Guards against refused callers that get in by retrying through another balancer or from another port.
    TEST_F(PriorityAdmissionTest, CallerStaysRefusedAtAllBalancersForAWhile)
    {
        // A balancer whose monotonic clock began at another time.
        PriorityAdmission other(7h);
        ManualClock otherClock;
        updateFor(2s, load(0.4F, 1.2F, 0.5F, 400));
        const ServiceLoad shared = load(0.4F, 1.2F, 0.5F, 400);
        for (int i = 0; i < 8; ++i) {
            otherClock.advance(250ms);
            other.update("tryon", ServiceDemand(shared, zones), { 0, 1 }, 0, otherClock.now());
        }
        ASSERT_EQ(admission.levelOf("tryon"), other.levelOf("tryon"));
        int refused = 0;
        int stillRefused = 0;
        for (std::uint32_t caller = 0; caller < 2000; ++caller) {
            const bool isRefused = admission.isRefused("tryon", 1, { caller, 1 }, clock.now());
            EXPECT_EQ(isRefused, other.isRefused("tryon", 1, { caller, 2 }, clock.now() - 7h));
            refused += isRefused;
            stillRefused += isRefused && admission.isRefused("tryon", 1, { caller, 3 }, clock.now() + 1s);
        }
        EXPECT_GT(stillRefused, refused * 0.9);
    }

    TEST_F(PriorityAdmissionTest, LateAnswersRaiseTheLevelWithLongQueues)
    {
        lateShare = 0.3;
        updateFor(1s, load(0.4F, 0.6F, 0, 350));
        EXPECT_NEAR(admission.levelOf("tryon"), 0.5, 0.05);
        admission.forget("tryon");
        EXPECT_FALSE(admission.isKnown("tryon"));
        EXPECT_EQ(refusedShare(1), 0);
    }

}

}
