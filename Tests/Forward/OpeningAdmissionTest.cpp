#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct OpeningAdmissionTest : testing::Test, ForwardFixture {
        static constexpr std::chrono::milliseconds targetLatency { 100 };
        OpeningAdmission admission;

        void answer(int count, std::chrono::milliseconds answerTime)
        {
            for (int i = 0; i < count; ++i)
                admission.noteAnswer("tryon", answerTime, clock.now());
        }

        // Returns how many of 1000 new flows are refused.
        int countRefused(const std::string& service = "tryon", std::chrono::milliseconds target = targetLatency)
        {
            int count = 0;
            for (std::uint32_t caller = 0; caller < 1000; ++caller)
                count += admission.admit(service, target, opening(caller).ends, clock.now()).isRefused;
            return count;
        }
    };

    TEST_F(OpeningAdmissionTest, ShareOfRefusedFlowsRisesWithTheAnswerTime)
    {
        EXPECT_EQ(countRefused(), 0);
        answer(16, 35ms);
        EXPECT_EQ(countRefused(), 0);
        answer(16, 52ms);
        const int half = countRefused();
        EXPECT_GT(half, 400);
        EXPECT_LT(half, 600);
        EXPECT_EQ(countRefused(), half) << "the choice depends on the flow alone";
        answer(16, 71ms);
        EXPECT_EQ(countRefused(), 1000);
        EXPECT_EQ(countRefused("scanintake"), 0);
        EXPECT_EQ(countRefused("tryon", 250ms), 0);
        EXPECT_EQ(countRefused("tryon", 0ms), 0) << "without a target latency nothing is refused";
    }

    TEST_F(OpeningAdmissionTest, NothingIsRefusedIfOnlySomeServersAreSlow)
    {
        answer(11, 400ms);
        answer(5, 20ms);
        EXPECT_EQ(countRefused(), 0);
    }

    TEST_F(OpeningAdmissionTest, NothingIsRefusedWithFewOrOldAnswers)
    {
        answer(7, 400ms);
        EXPECT_EQ(countRefused(), 0);
        answer(9, 400ms);
        EXPECT_EQ(countRefused(), 1000);
        clock.advance(1001ms);
        EXPECT_EQ(countRefused(), 0);
    }

    // Guards against the reset of an open flow by a late copy of its opening packet.
    TEST_F(OpeningAdmissionTest, OnlyFirstOpeningsAreRefused)
    {
        ForwardingConfiguration configurationWithTarget = configuration(50);
        configurationWithTarget.routes.front().targetLatency = targetLatency;
        router.applyConfiguration(configurationWithTarget);
        put(server(1));
        const std::uint32_t token = tokenOf(1);
        for (std::uint32_t caller = 1; caller <= 16; ++caller) {
            router.route(opening(caller), clock.now());
            router.route(data(caller, token), clock.now());
        }
        clock.advance(90ms);
        for (std::uint32_t caller = 1; caller <= 16; ++caller)
            router.route(data(caller, token, 1101, 5501), clock.now());
        const PacketDecision first = router.route(opening(100), clock.now());
        EXPECT_EQ(first.verdict, PacketVerdict::Reset);
        EXPECT_EQ(first.reason, PacketReason::Overloaded);
        EXPECT_EQ(first.admission.answerTime, 90ms);
        EXPECT_EQ(router.route(opening(101, 1), clock.now()).verdict, PacketVerdict::Forward);
        EXPECT_EQ(router.route(opening(1), clock.now()).verdict, PacketVerdict::Forward);
        EXPECT_EQ(router.route(data(5, token, 1201, 5901), clock.now()).verdict, PacketVerdict::Forward);
    }

}

}
