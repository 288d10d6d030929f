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

    TEST_F(StopSequenceTest, passesThroughEachPhaseOnItsCondition)
    {
        {
            SCOPED_TRACE("nothing happens before anybody asks");
            EXPECT_FALSE(sequence_.isRequested());
            EXPECT_EQ(tick(true, true), StopStep::None);
        }
        sequence_.request(clock_.now());
        {
            SCOPED_TRACE("it stays while a change of a flow table depends on this balancer");
            EXPECT_TRUE(sequence_.isRequested());
            EXPECT_EQ(tick(false, true), StopStep::None);
            EXPECT_EQ(tick(true, true), StopStep::Leave);
        }
        {
            SCOPED_TRACE("it goes on serving for the drain time, however idle it is");
            clock_.advance(9s);
            EXPECT_EQ(tick(true, true), StopStep::None);
            clock_.advance(1s);
        }
        {
            SCOPED_TRACE("others still reach it while it holds the claims");
            EXPECT_EQ(tick(true, true, false), StopStep::None);
            EXPECT_EQ(tick(true, true), StopStep::DrainRequests);
        }
        {
            SCOPED_TRACE("it waits for the last answer");
            EXPECT_EQ(tick(true, false), StopStep::None);
            EXPECT_EQ(tick(true, true), StopStep::Exit);
        }
    }

    // Symptom: a planned stop hangs until the VM is killed, and its flows break.
    // Sequence: SIGTERM arrives while an arbiter that died owes this balancer a message; a caller holds a stream open.
    // Cause: each phase waited for its condition alone.
    TEST_F(StopSequenceTest, endsEachPhaseByItsLimit)
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

    TEST_F(StopSequenceTest, stopsAtOnceWhenAskedTwice)
    {
        sequence_.request(clock_.now());
        EXPECT_EQ(tick(true, false), StopStep::Leave);
        sequence_.request(clock_.now());
        EXPECT_EQ(tick(false, false), StopStep::Exit);
    }

}

}
