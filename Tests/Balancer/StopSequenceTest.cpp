#include "Balancer/StopSequence.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    class StopSequenceTest : public testing::Test {
    protected:
        StopStep tick(bool mayLeave, bool areRequestsDrained, bool areClaimsReleased = true)
        {
            return sequence_.tick({ .mayLeave = mayLeave,
                                      .areClaimsReleased = areClaimsReleased,
                                      .areRequestsDrained = areRequestsDrained },
                clock_.now());
        }

        ManualClock clock_;
        StopSequence sequence_ { { .leaveTimeout = 5s, .drain = 10s, .claimTimeout = 5s, .requestTimeout = 30s } };
    };

    TEST_F(StopSequenceTest, EachPhaseEndsByItsCondition)
    {
        {
            SCOPED_TRACE("no step before the stop is requested");
            EXPECT_FALSE(sequence_.isRequested());
            EXPECT_EQ(tick(true, true), StopStep::None);
        }
        sequence_.request(clock_.now());
        {
            SCOPED_TRACE("it does not leave while a flow table change depends on it");
            EXPECT_TRUE(sequence_.isRequested());
            EXPECT_EQ(tick(false, true), StopStep::None);
            EXPECT_EQ(tick(true, true), StopStep::Leave);
        }
        {
            SCOPED_TRACE("it serves for the drain time even if it is idle");
            clock_.advance(9s);
            EXPECT_EQ(tick(true, true), StopStep::None);
            clock_.advance(1s);
        }
        {
            SCOPED_TRACE("it accepts connections while it holds claims");
            EXPECT_EQ(tick(true, true, false), StopStep::None);
            EXPECT_EQ(tick(true, true), StopStep::DrainRequests);
        }
        {
            SCOPED_TRACE("it waits for the last response");
            EXPECT_EQ(tick(true, false), StopStep::None);
            EXPECT_EQ(tick(true, true), StopStep::Exit);
        }
    }

    // Guards against a planned stop that waits forever for a peer or a caller.
    TEST_F(StopSequenceTest, EachPhaseEndsByItsLimit)
    {
        sequence_.request(clock_.now());
        clock_.advance(5s);
        EXPECT_EQ(tick(false, false), StopStep::Leave);
        clock_.advance(10s);
        EXPECT_EQ(tick(false, false, false), StopStep::None);
        clock_.advance(5s);
        EXPECT_EQ(tick(false, false, false), StopStep::DrainRequests);
        clock_.advance(29s);
        EXPECT_EQ(tick(false, false), StopStep::None);
        clock_.advance(1s);
        EXPECT_EQ(tick(false, false), StopStep::Exit);
    }

    TEST_F(StopSequenceTest, SecondRequestStopsImmediately)
    {
        sequence_.request(clock_.now());
        EXPECT_EQ(tick(true, false), StopStep::Leave);
        sequence_.request(clock_.now());
        EXPECT_EQ(tick(false, false), StopStep::Exit);
    }

}

}
