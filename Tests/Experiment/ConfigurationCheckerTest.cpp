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

    TEST_F(ConfigurationCheckerTest, ReportsNoViolationsOfARunWithoutFaults)
    {
        checker_.served(1, "one", "one");
        EXPECT_EQ(checker_.partialApplies(), 0u);
        EXPECT_EQ(checker_.reversions(end_), 0u);
        EXPECT_DOUBLE_EQ(checker_.inForceSecondsMax(end_), 0.1);
        EXPECT_TRUE(checker_.isInForceEverywhere(1));
        EXPECT_FALSE(checker_.isInForceEverywhere(2));
    }

    TEST_F(ConfigurationCheckerTest, CountsContentsThatWereNotAccepted)
    {
        {
            SCOPED_TRACE("the text does not match its hash");
            checker_.served(1, "one", "torn");
            checker_.served(1, "one", "torn");
            EXPECT_EQ(checker_.partialApplies(), 1u);
        }
        {
            SCOPED_TRACE("a complete text of another apply");
            checker_.served(1, "other", "other");
            EXPECT_EQ(checker_.partialApplies(), 2u);
        }
        {
            SCOPED_TRACE("a version that is accepted only after it was served");
            checker_.served(2, "two", "two");
            EXPECT_EQ(checker_.partialApplies(), 3u);
            checker_.accepted(2, "two", end_);
            EXPECT_EQ(checker_.partialApplies(), 2u);
        }
    }

    // Guards against a version number that is assigned again after a restore of the platform, so that an accepted
    // configuration never takes effect.
    TEST_F(ConfigurationCheckerTest, CountsVersionsAcceptedWithTwoContents)
    {
        checker_.accepted(2, "two", start_ + 1s);
        checker_.accepted(2, "two", start_ + 2s);
        EXPECT_EQ(checker_.partialApplies(), 0u);
        checker_.accepted(2, "another", start_ + 3s);
        EXPECT_EQ(checker_.partialApplies(), 1u);
    }

    TEST_F(ConfigurationCheckerTest, CountsEveryReversionOfAProcess)
    {
        for (const std::uint64_t version : { 3, 2, 3, 1 })
            checker_.noteVersionInForce("b1", version, start_ + 1s);
        EXPECT_EQ(checker_.reversions(end_), 2u);
    }

    // Guards against a new balancer that takes an older version from a restored platform without asking its peers.
    TEST_F(ConfigurationCheckerTest, CountsNewProcessThatStaysBelowTheOthers)
    {
        checker_.accepted(2, "two", start_ + 1s);
        reportOnBoth(2, start_ + 2s);
        checker_.processStarted("b3", start_ + 10s);
        checker_.noteVersionInForce("b3", 1, start_ + 11s);
        EXPECT_EQ(checker_.reversions(start_ + 14s), 0u);
        EXPECT_EQ(checker_.reversions(start_ + 15s), 1u);

        SCOPED_TRACE("the process reaches the version late");
        checker_.noteVersionInForce("b3", 2, start_ + 16s);
        EXPECT_EQ(checker_.reversions(end_), 0u);
    }

    TEST_F(ConfigurationCheckerTest, NewProcessNeedsOnlyTheVersionOfAllReachableProcesses)
    {
        checker_.accepted(2, "two", start_ + 1s);
        checker_.noteVersionInForce("b1", 2, start_ + 2s);
        checker_.processStarted("b3", start_ + 3s);
        checker_.noteVersionInForce("b3", 1, start_ + 4s);
        EXPECT_EQ(checker_.reversions(end_), 0u);

        SCOPED_TRACE("a process that is cut off does not count");
        checker_.cutBegan("b2", start_ + 5s);
        checker_.processEnded("b3", start_ + 5s);
        checker_.processStarted("b4", start_ + 6s);
        checker_.noteVersionInForce("b4", 1, start_ + 7s);
        EXPECT_EQ(checker_.reversions(end_), 1u);
    }

    TEST_F(ConfigurationCheckerTest, SettleTimeExcludesCuts)
    {
        checker_.processStarted("b3", start_ + 10s);
        checker_.cutBegan("b3", start_ + 11s);
        checker_.cutEnded("b3", start_ + 30s);
        EXPECT_EQ(checker_.reversions(start_ + 33s), 0u);
        EXPECT_EQ(checker_.reversions(start_ + 34s), 1u);
    }

    TEST_F(ConfigurationCheckerTest, MeasuresFromAcceptanceToTheLastBalancer)
    {
        checker_.accepted(2, "two", start_ + 10s);
        checker_.noteVersionInForce("b1", 2, start_ + 11s);
        checker_.noteVersionInForce("b2", 3, start_ + 12s);
        EXPECT_DOUBLE_EQ(checker_.inForceSecondsMax(end_), 2);
        EXPECT_TRUE(checker_.isInForceEverywhere(2));
    }

    TEST_F(ConfigurationCheckerTest, MissingVersionCountsUntilTheEnd)
    {
        checker_.accepted(2, "two", start_ + 10s);
        checker_.noteVersionInForce("b1", 2, start_ + 11s);
        EXPECT_DOUBLE_EQ(checker_.inForceSecondsMax(start_ + 30s), 20);
        checker_.processEnded("b2", start_ + 14s);
        EXPECT_DOUBLE_EQ(checker_.inForceSecondsMax(start_ + 30s), 4);
    }

    TEST_F(ConfigurationCheckerTest, VersionCountsFromItsFirstReport)
    {
        SCOPED_TRACE("the operator learns of the acceptance only after a balancer reported the version");
        checker_.noteVersionInForce("b1", 2, start_ + 10s);
        checker_.accepted(2, "two", start_ + 13s);
        checker_.noteVersionInForce("b2", 2, start_ + 14s);
        EXPECT_DOUBLE_EQ(checker_.inForceSecondsMax(end_), 4);
    }

    TEST_F(ConfigurationCheckerTest, ExcludesCutsFromTheTimeToTakeEffect)
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

    TEST_F(ConfigurationCheckerTest, NewProcessCountsFromItsStart)
    {
        checker_.processStarted("b3", start_ + 10s);
        checker_.noteVersionInForce("b3", 0, start_ + 11s);
        checker_.noteVersionInForce("b3", 1, start_ + 12500ms);
        EXPECT_DOUBLE_EQ(checker_.inForceSecondsMax(end_), 2.5);
    }

}
}
