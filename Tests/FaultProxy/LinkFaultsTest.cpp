#include "FaultProxy/LinkFaults.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    class LinkFaultsTest : public testing::Test {
    protected:
        FaultDecision decide() { return faults_.decide(unitSize, clock_.now(), random_); }

        static constexpr std::size_t unitSize = 100;
        ManualClock clock_;
        Random random_ { 7 };
        FaultCounters counters_;
        LinkFaults faults_ { LinkProtocol::Udp, counters_ };
        LinkFaults streamFaults_ { LinkProtocol::Tcp, counters_ };
    };

    TEST_F(LinkFaultsTest, NoDelayWithoutFaults)
    {
        const FaultDecision decision = decide();
        EXPECT_EQ(decision.deliverAt, clock_.now());
        EXPECT_FALSE(decision.duplicateAt);
        EXPECT_EQ(counters_.bytes, unitSize);
        EXPECT_EQ(counters_.faultsInjected(), 0u);
    }

    TEST_F(LinkFaultsTest, DelayAndJitterBoundTheDeliveryTime)
    {
        faults_.setSettings({ .delay = 10ms, .jitter = 4ms });
        for (int i = 0; i < 100; ++i) {
            const FaultDecision decision = decide();
            ASSERT_TRUE(decision.deliverAt);
            EXPECT_GE(*decision.deliverAt, clock_.now() + 10ms);
            EXPECT_LT(*decision.deliverAt, clock_.now() + 14ms);
        }
        EXPECT_EQ(counters_.delayed, 100u);
    }

    TEST_F(LinkFaultsTest, FaultSharesMatchTheProbabilities)
    {
        faults_.setSettings({ .loss = 0.2, .duplicate = 0.1, .reorder = 0.05 });
        int delivered = 0;
        int repeated = 0;
        int late = 0;
        for (int i = 0; i < 10'000; ++i) {
            const FaultDecision decision = decide();
            delivered += decision.deliverAt.has_value();
            repeated += decision.duplicateAt.has_value();
            late += decision.deliverAt.has_value() && *decision.deliverAt > clock_.now();
        }
        EXPECT_NEAR(delivered, 8000, 200);
        EXPECT_NEAR(repeated, 800, 120);
        EXPECT_NEAR(late, 400, 90);
        EXPECT_EQ(counters_.lost, 10'000u - static_cast<unsigned>(delivered));
        EXPECT_EQ(counters_.duplicated, static_cast<unsigned>(repeated));
        EXPECT_EQ(counters_.reordered, static_cast<unsigned>(late));
    }

    TEST_F(LinkFaultsTest, TheSameSeedGivesTheSameFaults)
    {
        const FaultSettings settings { .jitter = 20ms, .loss = 0.3, .duplicate = 0.3, .reorder = 0.3 };
        FaultCounters otherCounters;
        LinkFaults other(LinkProtocol::Udp, otherCounters);
        Random otherRandom(7);
        faults_.setSettings(settings);
        other.setSettings(settings);
        for (int i = 0; i < 1000; ++i) {
            const FaultDecision first = decide();
            const FaultDecision second = other.decide(unitSize, clock_.now(), otherRandom);
            ASSERT_EQ(first.deliverAt, second.deliverAt);
            ASSERT_EQ(first.duplicateAt, second.duplicateAt);
        }
    }

    TEST_F(LinkFaultsTest, ACutDropsDatagramsAndHoldsBytes)
    {
        faults_.setSettings({ .cut = true });
        EXPECT_FALSE(decide().deliverAt);
        EXPECT_FALSE(faults_.isHolding());

        streamFaults_.setSettings({ .cut = true });
        EXPECT_TRUE(streamFaults_.decide(unitSize, clock_.now(), random_).deliverAt);
        EXPECT_TRUE(streamFaults_.isHolding());

        SCOPED_TRACE("a cut with reset drops bytes");
        streamFaults_.setSettings({ .cut = true, .reset = true });
        EXPECT_FALSE(streamFaults_.decide(unitSize, clock_.now(), random_).deliverAt);
        EXPECT_TRUE(streamFaults_.isResetting());
        EXPECT_EQ(counters_.cut, 3u);
    }

    TEST_F(LinkFaultsTest, AFreezeHoldsUnits)
    {
        faults_.setSettings({ .freeze = true });
        EXPECT_TRUE(decide().deliverAt);
        EXPECT_TRUE(faults_.isHolding());
        EXPECT_EQ(counters_.frozen, 1u);

        faults_.setSettings({});
        EXPECT_FALSE(faults_.isHolding());
    }

    // Guards against losing or reordering bytes of a stream, which TCP never does.
    TEST_F(LinkFaultsTest, BytesOfAStreamKeepTheirOrderAndAreNotLost)
    {
        streamFaults_.setSettings({ .delay = 1ms, .jitter = 50ms, .loss = 1, .duplicate = 1, .reorder = 1 });
        TimePoint last;
        for (int i = 0; i < 100; ++i) {
            const FaultDecision decision = streamFaults_.decide(unitSize, clock_.now(), random_);
            ASSERT_TRUE(decision.deliverAt);
            EXPECT_FALSE(decision.duplicateAt);
            EXPECT_GE(*decision.deliverAt, last);
            last = *decision.deliverAt;
            clock_.advance(1ms);
        }
    }

}
}
