#include "Experiment/DrainJudge.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    class DrainJudgeTest : public testing::Test {
    protected:
        const TimePoint start_ = ManualClock().now();
        DrainJudge judge_;
    };

    TEST_F(DrainJudgeTest, countsNewFlowsBetweenGraceAndReturn)
    {
        judge_.drainAccepted("a", start_);
        judge_.returnStarted("a", start_ + 10s);
        EXPECT_EQ(judge_.lateNewFlows("a", { start_ - 1s, start_ + 4999ms, start_ + 10s, start_ + 20s }), 0u);
        EXPECT_EQ(judge_.lateNewFlows("a", { start_ + 5s, start_ + 9999ms }), 2u);
        EXPECT_EQ(judge_.lateNewFlows("b", { start_ + 6s }), 0u);
    }

    TEST_F(DrainJudgeTest, aSecondDrainIsJudgedOnItsOwn)
    {
        judge_.drainAccepted("a", start_);
        judge_.returnStarted("a", start_ + 10s);
        judge_.drainAccepted("a", start_ + 20s);
        EXPECT_EQ(judge_.lateNewFlows("a", { start_ + 15s, start_ + 24s, start_ + 26s }), 1u);
    }

    TEST_F(DrainJudgeTest, saysHowManyDrainsLastedLongEnough)
    {
        judge_.drainAccepted("a", start_);
        judge_.drainAccepted("b", start_);
        judge_.returnStarted("b", start_ + 4s);
        judge_.drainAccepted("c", start_ + 8s);
        EXPECT_EQ(judge_.judgedDrains(start_ + 10s), 1u);
        EXPECT_EQ(judge_.judgedDrains(start_ + 14s), 2u);
    }

}
}
