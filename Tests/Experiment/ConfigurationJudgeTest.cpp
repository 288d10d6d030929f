#include "Experiment/ConfigurationJudge.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    class ConfigurationJudgeTest : public testing::Test {
    protected:
        void SetUp() override
        {
            judge_.accepted(1, "one", start_);
            for (const char* process : { "b1", "b2" }) {
                judge_.processStarted(process, start_);
                judge_.showed(process, 1, start_ + 100ms);
            }
        }

        void showOnBoth(std::uint64_t version, TimePoint at)
        {
            judge_.showed("b1", version, at);
            judge_.showed("b2", version, at);
        }

        const TimePoint start_ = ManualClock().now();
        const TimePoint end_ = start_ + 60s;
        ConfigurationJudge judge_;
    };

    TEST_F(ConfigurationJudgeTest, aQuietRunHasNothingToReport)
    {
        judge_.served(1, "one", "one");
        EXPECT_EQ(judge_.partialApplies(), 0u);
        EXPECT_EQ(judge_.reversions(end_), 0u);
        EXPECT_DOUBLE_EQ(judge_.inForceSecondsMax(end_), 0.1);
        EXPECT_TRUE(judge_.isInForceEverywhere(1));
        EXPECT_FALSE(judge_.isInForceEverywhere(2));
    }

    TEST_F(ConfigurationJudgeTest, countsContentsThatNobodyAccepted)
    {
        {
            SCOPED_TRACE("the text is not the one that its hash names");
            judge_.served(1, "one", "torn");
            judge_.served(1, "one", "torn");
            EXPECT_EQ(judge_.partialApplies(), 1u);
        }
        {
            SCOPED_TRACE("a whole text, but of another apply");
            judge_.served(1, "other", "other");
            EXPECT_EQ(judge_.partialApplies(), 2u);
        }
        {
            SCOPED_TRACE("a version that no operator was told of, until one is");
            judge_.served(2, "two", "two");
            EXPECT_EQ(judge_.partialApplies(), 3u);
            judge_.accepted(2, "two", end_);
            EXPECT_EQ(judge_.partialApplies(), 2u);
        }
    }

    // Symptom: two operators are both told "accepted", and one of their files is in force nowhere.
    // Sequence: version 2 is accepted, the platform is restored to a copy with version 1, version 2 is accepted again.
    // Cause: the second one was not numbered above what the balancers run.
    TEST_F(ConfigurationJudgeTest, countsAVersionThatWasAcceptedWithTwoContents)
    {
        judge_.accepted(2, "two", start_ + 1s);
        judge_.accepted(2, "two", start_ + 2s);
        EXPECT_EQ(judge_.partialApplies(), 0u);
        judge_.accepted(2, "another", start_ + 3s);
        EXPECT_EQ(judge_.partialApplies(), 1u);
    }

    TEST_F(ConfigurationJudgeTest, countsEveryStepBackOfAProcess)
    {
        for (const std::uint64_t version : { 3, 2, 3, 1 })
            judge_.showed("b1", version, start_ + 1s);
        EXPECT_EQ(judge_.reversions(end_), 2u);
    }

    // Symptom: a drained server gets work again from one balancer only.
    // Sequence: version 2 is in force everywhere, the platform is restored to version 1, a balancer starts and reads
    // it. Cause: the newcomer believed the platform and never asked its peers.
    TEST_F(ConfigurationJudgeTest, countsAFreshProcessThatRestsBelowTheOthers)
    {
        judge_.accepted(2, "two", start_ + 1s);
        showOnBoth(2, start_ + 2s);
        judge_.processStarted("b3", start_ + 10s);
        judge_.showed("b3", 1, start_ + 11s);
        EXPECT_EQ(judge_.reversions(start_ + 14s), 0u);
        EXPECT_EQ(judge_.reversions(start_ + 15s), 1u);

        SCOPED_TRACE("it may be late, if it gets there");
        judge_.showed("b3", 2, start_ + 16s);
        EXPECT_EQ(judge_.reversions(end_), 0u);
    }

    TEST_F(ConfigurationJudgeTest, aFreshProcessOwesOnlyWhatAllInReachHad)
    {
        judge_.accepted(2, "two", start_ + 1s);
        judge_.showed("b1", 2, start_ + 2s);
        judge_.processStarted("b3", start_ + 3s);
        judge_.showed("b3", 1, start_ + 4s);
        EXPECT_EQ(judge_.reversions(end_), 0u);

        SCOPED_TRACE("one that is cut off does not count among them");
        judge_.cutBegan("b2", start_ + 5s);
        judge_.processEnded("b3", start_ + 5s);
        judge_.processStarted("b4", start_ + 6s);
        judge_.showed("b4", 1, start_ + 7s);
        EXPECT_EQ(judge_.reversions(end_), 1u);
    }

    TEST_F(ConfigurationJudgeTest, aFreshProcessHasItsTimeOutOfCuts)
    {
        judge_.processStarted("b3", start_ + 10s);
        judge_.cutBegan("b3", start_ + 11s);
        judge_.cutEnded("b3", start_ + 30s);
        EXPECT_EQ(judge_.reversions(start_ + 33s), 0u);
        EXPECT_EQ(judge_.reversions(start_ + 34s), 1u);
    }

    TEST_F(ConfigurationJudgeTest, measuresFromAcceptanceToTheLastBalancer)
    {
        judge_.accepted(2, "two", start_ + 10s);
        judge_.showed("b1", 2, start_ + 11s);
        judge_.showed("b2", 3, start_ + 12s);
        EXPECT_DOUBLE_EQ(judge_.inForceSecondsMax(end_), 2);
        EXPECT_TRUE(judge_.isInForceEverywhere(2));
    }

    TEST_F(ConfigurationJudgeTest, aVersionThatNeverArrivesCountsToTheEnd)
    {
        judge_.accepted(2, "two", start_ + 10s);
        judge_.showed("b1", 2, start_ + 11s);
        EXPECT_DOUBLE_EQ(judge_.inForceSecondsMax(start_ + 30s), 20);
        judge_.processEnded("b2", start_ + 14s);
        EXPECT_DOUBLE_EQ(judge_.inForceSecondsMax(start_ + 30s), 4);
    }

    TEST_F(ConfigurationJudgeTest, aVersionCountsFromItsFirstSight)
    {
        SCOPED_TRACE("the operator's answer was lost and found out later");
        judge_.showed("b1", 2, start_ + 10s);
        judge_.accepted(2, "two", start_ + 13s);
        judge_.showed("b2", 2, start_ + 14s);
        EXPECT_DOUBLE_EQ(judge_.inForceSecondsMax(end_), 4);
    }

    TEST_F(ConfigurationJudgeTest, leavesOutCutsButNotWhatComesBeforeAndAfter)
    {
        judge_.accepted(2, "two", start_ + 10s);
        judge_.showed("b1", 2, start_ + 10s);
        judge_.cutBegan("b2", start_ + 13s);
        EXPECT_TRUE(judge_.isInForceEverywhere(2));
        judge_.cutEnded("b2", start_ + 20s);
        EXPECT_FALSE(judge_.isInForceEverywhere(2));
        judge_.showed("b2", 2, start_ + 21s);
        EXPECT_DOUBLE_EQ(judge_.inForceSecondsMax(end_), 3);
    }

    TEST_F(ConfigurationJudgeTest, aNewcomerCountsFromItsStart)
    {
        judge_.processStarted("b3", start_ + 10s);
        judge_.showed("b3", 0, start_ + 11s);
        judge_.showed("b3", 1, start_ + 12500ms);
        EXPECT_DOUBLE_EQ(judge_.inForceSecondsMax(end_), 2.5);
    }

}
}
