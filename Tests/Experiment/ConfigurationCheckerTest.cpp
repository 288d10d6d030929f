#include "Experiment/ConfigurationChecker.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    class ConfigurationCheckerTest : public testing::Test {
    protected:
        void SetUp() override
        {
            checker_.accepted(1, "one", start_);
            for (const char* process : { "b1", "b2" }) {
                checker_.processStarted(process, start_);
                checker_.noteVersionInForce(process, 1, start_ + 100ms);
            }
        }

        void reportOnBoth(std::uint64_t version, TimePoint at)
        {
            checker_.noteVersionInForce("b1", version, at);
            checker_.noteVersionInForce("b2", version, at);
        }

        const TimePoint start_ = ManualClock().now();
        const TimePoint end_ = start_ + 60s;
        ConfigurationChecker checker_;
    };

    TEST_F(ConfigurationCheckerTest, aQuietRunHasNothingToReport)
    {
        checker_.served(1, "one", "one");
        EXPECT_EQ(checker_.partialApplies(), 0u);
        EXPECT_EQ(checker_.reversions(end_), 0u);
        EXPECT_DOUBLE_EQ(checker_.inForceSecondsMax(end_), 0.1);
        EXPECT_TRUE(checker_.isInForceEverywhere(1));
        EXPECT_FALSE(checker_.isInForceEverywhere(2));
    }

    TEST_F(ConfigurationCheckerTest, countsContentsThatNobodyAccepted)
    {
        {
            SCOPED_TRACE("the text is not the one that its hash names");
            checker_.served(1, "one", "torn");
            checker_.served(1, "one", "torn");
            EXPECT_EQ(checker_.partialApplies(), 1u);
        }
        {
            SCOPED_TRACE("a whole text, but of another apply");
            checker_.served(1, "other", "other");
            EXPECT_EQ(checker_.partialApplies(), 2u);
        }
        {
            SCOPED_TRACE("a version that no operator was told of, until one is");
            checker_.served(2, "two", "two");
            EXPECT_EQ(checker_.partialApplies(), 3u);
            checker_.accepted(2, "two", end_);
            EXPECT_EQ(checker_.partialApplies(), 2u);
        }
    }

    // Symptom: two operators are both told "accepted", and one of their files is in force nowhere.
    // Sequence: version 2 is accepted, the platform is restored to a copy with version 1, version 2 is accepted again.
    // Cause: the second one was not numbered above what the balancers run.
    TEST_F(ConfigurationCheckerTest, countsAVersionThatWasAcceptedWithTwoContents)
    {
        checker_.accepted(2, "two", start_ + 1s);
        checker_.accepted(2, "two", start_ + 2s);
        EXPECT_EQ(checker_.partialApplies(), 0u);
        checker_.accepted(2, "another", start_ + 3s);
        EXPECT_EQ(checker_.partialApplies(), 1u);
    }

    TEST_F(ConfigurationCheckerTest, countsEveryStepBackOfAProcess)
    {
        for (const std::uint64_t version : { 3, 2, 3, 1 })
            checker_.noteVersionInForce("b1", version, start_ + 1s);
        EXPECT_EQ(checker_.reversions(end_), 2u);
    }

    // Symptom: a drained server gets work again from one balancer only.
    // Sequence: version 2 is in force everywhere, the platform is restored to version 1, a balancer starts and reads
    // it. Cause: the newcomer believed the platform and never asked its peers.
    TEST_F(ConfigurationCheckerTest, countsAFreshProcessThatRestsBelowTheOthers)
    {
        checker_.accepted(2, "two", start_ + 1s);
        reportOnBoth(2, start_ + 2s);
        checker_.processStarted("b3", start_ + 10s);
        checker_.noteVersionInForce("b3", 1, start_ + 11s);
        EXPECT_EQ(checker_.reversions(start_ + 14s), 0u);
        EXPECT_EQ(checker_.reversions(start_ + 15s), 1u);

        SCOPED_TRACE("it may be late, if it gets there");
        checker_.noteVersionInForce("b3", 2, start_ + 16s);
        EXPECT_EQ(checker_.reversions(end_), 0u);
    }

    TEST_F(ConfigurationCheckerTest, aFreshProcessOwesOnlyWhatAllInReachHad)
    {
        checker_.accepted(2, "two", start_ + 1s);
        checker_.noteVersionInForce("b1", 2, start_ + 2s);
        checker_.processStarted("b3", start_ + 3s);
        checker_.noteVersionInForce("b3", 1, start_ + 4s);
        EXPECT_EQ(checker_.reversions(end_), 0u);

        SCOPED_TRACE("one that is cut off does not count among them");
        checker_.cutBegan("b2", start_ + 5s);
        checker_.processEnded("b3", start_ + 5s);
        checker_.processStarted("b4", start_ + 6s);
        checker_.noteVersionInForce("b4", 1, start_ + 7s);
        EXPECT_EQ(checker_.reversions(end_), 1u);
    }

    TEST_F(ConfigurationCheckerTest, aFreshProcessHasItsTimeOutOfCuts)
    {
        checker_.processStarted("b3", start_ + 10s);
        checker_.cutBegan("b3", start_ + 11s);
        checker_.cutEnded("b3", start_ + 30s);
        EXPECT_EQ(checker_.reversions(start_ + 33s), 0u);
        EXPECT_EQ(checker_.reversions(start_ + 34s), 1u);
    }

    TEST_F(ConfigurationCheckerTest, measuresFromAcceptanceToTheLastBalancer)
    {
        checker_.accepted(2, "two", start_ + 10s);
        checker_.noteVersionInForce("b1", 2, start_ + 11s);
        checker_.noteVersionInForce("b2", 3, start_ + 12s);
        EXPECT_DOUBLE_EQ(checker_.inForceSecondsMax(end_), 2);
        EXPECT_TRUE(checker_.isInForceEverywhere(2));
    }

    TEST_F(ConfigurationCheckerTest, aVersionThatNeverArrivesCountsToTheEnd)
    {
        checker_.accepted(2, "two", start_ + 10s);
        checker_.noteVersionInForce("b1", 2, start_ + 11s);
        EXPECT_DOUBLE_EQ(checker_.inForceSecondsMax(start_ + 30s), 20);
        checker_.processEnded("b2", start_ + 14s);
        EXPECT_DOUBLE_EQ(checker_.inForceSecondsMax(start_ + 30s), 4);
    }

    TEST_F(ConfigurationCheckerTest, aVersionCountsFromItsFirstSight)
    {
        SCOPED_TRACE("the operator's answer was lost and found out later");
        checker_.noteVersionInForce("b1", 2, start_ + 10s);
        checker_.accepted(2, "two", start_ + 13s);
        checker_.noteVersionInForce("b2", 2, start_ + 14s);
        EXPECT_DOUBLE_EQ(checker_.inForceSecondsMax(end_), 4);
    }

    TEST_F(ConfigurationCheckerTest, leavesOutCutsButNotWhatComesBeforeAndAfter)
    {
        checker_.accepted(2, "two", start_ + 10s);
        checker_.noteVersionInForce("b1", 2, start_ + 10s);
        checker_.cutBegan("b2", start_ + 13s);
        EXPECT_TRUE(checker_.isInForceEverywhere(2));
        checker_.cutEnded("b2", start_ + 20s);
        EXPECT_FALSE(checker_.isInForceEverywhere(2));
        checker_.noteVersionInForce("b2", 2, start_ + 21s);
        EXPECT_DOUBLE_EQ(checker_.inForceSecondsMax(end_), 3);
    }

    TEST_F(ConfigurationCheckerTest, aNewcomerCountsFromItsStart)
    {
        checker_.processStarted("b3", start_ + 10s);
        checker_.noteVersionInForce("b3", 0, start_ + 11s);
        checker_.noteVersionInForce("b3", 1, start_ + 12500ms);
        EXPECT_DOUBLE_EQ(checker_.inForceSecondsMax(end_), 2.5);
    }

}
}
