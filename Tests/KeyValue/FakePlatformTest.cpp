#include "Support/FakePlatform.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    class FakePlatformTest : public testing::Test {
    protected:
        void write(std::uint64_t expected, const std::string& value)
        {
            platform_.compareAndSwap("key", expected, value, std::nullopt, clock_.now() + 1s,
                [this](const Result<std::uint64_t>& result) { writes_.push_back(result); });
        }

        ManualClock clock_;
        FakePlatform platform_ { clock_ };
        std::vector<Result<std::uint64_t>> writes_;
    };

    TEST_F(FakePlatformTest, SynchronousAnswersAndWatches)
    {
        std::optional<std::string> seen;
        platform_.watch(
            "key", 0, clock_.now() + 1s, [&](const Result<PlatformEntry>& entry) { seen = entry.value().value; });
        EXPECT_FALSE(seen);
        write(0, "one");
        EXPECT_EQ(writes_.at(0).value(), 1U);
        EXPECT_EQ(seen, "one");
    }

    TEST_F(FakePlatformTest, OutageDelayAndLostAnswers)
    {
        {
            SCOPED_TRACE("down: calls have no effect, and open watches end");
            std::optional<ErrorCode> watchEnd;
            platform_.watch("key", 0, clock_.now() + 1s,
                [&](const Result<PlatformEntry>& entry) { watchEnd = entry.error().code; });
            platform_.setOutage(true);
            EXPECT_EQ(watchEnd, ErrorCode::Unavailable);
            write(0, "down");
            EXPECT_EQ(writes_.at(0).error().code, ErrorCode::Unavailable);
            EXPECT_EQ(platform_.store().revision(), 0U);
            platform_.setOutage(false);
        }
        {
            SCOPED_TRACE("lost answer: the write takes effect");
            platform_.loseAnswers(1);
            write(0, "lost");
            EXPECT_EQ(writes_.at(1).error().code, ErrorCode::Unknown);
            EXPECT_EQ(platform_.store().revision(), 1U);
        }
        {
            SCOPED_TRACE("slow: writes take effect at once, answers come at release() or too late");
            platform_.setHoldsAnswers(true);
            write(1, "slow");
            EXPECT_EQ(platform_.store().revision(), 2U);
            ASSERT_EQ(writes_.size(), 2U);
            platform_.releaseAnswers();
            EXPECT_EQ(writes_.at(2).value(), 2U);
            write(2, "overdue");
            clock_.advance(1s);
            platform_.tick();
            EXPECT_EQ(writes_.at(3).error().code, ErrorCode::Unknown);
            EXPECT_EQ(platform_.heldAnswers(), 0U);
        }
    }

}
}
