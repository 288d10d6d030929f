#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct OpeningAdmissionTest : testing::Test, ForwardFixture {
        static constexpr std::chrono::milliseconds targetLatency { 100 };
        OpeningAdmission admission;

        void answer(int count, std::chrono::milliseconds took)
        {
            for (int i = 0; i < count; ++i)
                admission.noteAnswer("tryon", took, clock.now());
        }

        // How many of 1,000 new flows are refused.
        int refused(const std::string& service = "tryon", std::chrono::milliseconds wanted = targetLatency)
        {
            int count = 0;
            for (std::uint32_t caller = 0; caller < 1000; ++caller)
                count += admission.admit(service, wanted, opening(caller).ends, clock.now()).isRefused;
            return count;
        }
    };

    TEST_F(OpeningAdmissionTest, flowsAreRefusedByHowLongAllServersTakeToAnswer)
    {
        EXPECT_EQ(refused(), 0);
        answer(16, 35ms);
        EXPECT_EQ(refused(), 0);
        answer(16, 52ms);
        const int half = refused();
        EXPECT_GT(half, 400);
        EXPECT_LT(half, 600);
        EXPECT_EQ(refused(), half) << "the choice depends on the flow alone";
        answer(16, 71ms);
        EXPECT_EQ(refused(), 1000);
        EXPECT_EQ(refused("scanintake"), 0);
        EXPECT_EQ(refused("tryon", 250ms), 0);
        EXPECT_EQ(refused("tryon", 0ms), 0) << "without an aim nothing is too late";
    }

    TEST_F(OpeningAdmissionTest, slowServersAmongOthersRefuseNothing)
    {
        answer(11, 400ms);
        answer(5, 20ms);
        EXPECT_EQ(refused(), 0);
    }

    TEST_F(OpeningAdmissionTest, littleOrOldKnowledgeRefusesNothing)
    {
        answer(7, 400ms);
        EXPECT_EQ(refused(), 0);
        answer(9, 400ms);
        EXPECT_EQ(refused(), 1000);
        clock.advance(1001ms);
        EXPECT_EQ(refused(), 0);
    }

    // A reset must never reach a flow that is open, and a copy of an opening packet may be one of an open flow.
    TEST_F(OpeningAdmissionTest, onlyAFirstOpeningIsRefused)
    {
        ForwardingConfiguration timed = configuration(50);
        timed.routes.front().targetLatency = targetLatency;
        router.applyConfiguration(timed);
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
