#include "Experiment/DrainChecker.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    class DrainCheckerTest : public testing::Test {
    protected:
        const TimePoint start_ = ManualClock().now();
        DrainChecker checker_;
    };

    TEST_F(DrainCheckerTest, CountsNewFlowsBetweenGraceTimeAndReturn)
    {
        checker_.drainAccepted("a", start_);
        checker_.undrainRequested("a", start_ + 10s);
        EXPECT_EQ(checker_.lateNewFlows("a", { start_ - 1s, start_ + 4999ms, start_ + 10s, start_ + 20s }), 0u);
        EXPECT_EQ(checker_.lateNewFlows("a", { start_ + 5s, start_ + 9999ms }), 2u);
        EXPECT_EQ(checker_.lateNewFlows("b", { start_ + 6s }), 0u);
    }

    TEST_F(DrainCheckerTest, ChecksEachDrainSeparately)
    {
        checker_.drainAccepted("a", start_);
        checker_.undrainRequested("a", start_ + 10s);
        checker_.drainAccepted("a", start_ + 20s);
        EXPECT_EQ(checker_.lateNewFlows("a", { start_ + 15s, start_ + 24s, start_ + 26s }), 1u);
    }

    TEST_F(DrainCheckerTest, CountsDrainsLongerThanTheGraceTime)
    {
        checker_.drainAccepted("a", start_);
        checker_.drainAccepted("b", start_);
        checker_.undrainRequested("b", start_ + 4s);
        checker_.drainAccepted("c", start_ + 8s);
        EXPECT_EQ(checker_.checkedDrains(start_ + 10s), 1u);
        EXPECT_EQ(checker_.checkedDrains(start_ + 14s), 2u);
    }

}
}
