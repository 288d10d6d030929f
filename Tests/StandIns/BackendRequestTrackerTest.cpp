#include "StandIns/BackendRequestTracker.h"
#include "StandIns/BackendStatus.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using std::chrono::milliseconds;

    class BackendRequestTrackerTest : public testing::Test {
    protected:
        BackendRequestTracker::Admission admit(std::string_view key, milliseconds deadline = milliseconds(0))
        {
            return tracker_.admit(key, milliseconds(100), deadline, clock_.now());
        }

        ManualClock clock_;
        BackendRequestTracker tracker_ { 2 };
    };

    TEST_F(BackendRequestTrackerTest, ConcurrentRunsAreLimitedToTheSlots)
    {
        tracker_.behaviour().slots = 2;
        const auto first = admit("a");
        EXPECT_FALSE(first.shed);
        EXPECT_EQ(first.endsAt, clock_.now() + milliseconds(100));
        EXPECT_FALSE(admit("b").shed);
        EXPECT_TRUE(admit("c").shed);
        EXPECT_FALSE(tracker_.keys().contains("c")) << "a refused request does not run";
        tracker_.end(first.run, RunOutcome::Completed, clock_.now());
        EXPECT_FALSE(admit("c").shed);

        SCOPED_TRACE("a server that is draining or shedding refuses all requests");
        tracker_.behaviour().slots = 10;
        tracker_.behaviour().draining = true;
        EXPECT_TRUE(admit("d").shed);
        tracker_.behaviour().draining = false;
        tracker_.behaviour().shedding = true;
        EXPECT_TRUE(admit("d").shed);
        EXPECT_EQ(tracker_.counts().shed, 3U);
    }

    TEST_F(BackendRequestTrackerTest, AllRunsOfAKeyAreRecorded)
    {
        const auto first = admit("a");
        clock_.advance(milliseconds(50));
        tracker_.end(first.run, RunOutcome::Cancelled, clock_.now());
        tracker_.end(first.run, RunOutcome::Completed, clock_.now());
        const auto second = admit("a");
        tracker_.end(second.run, RunOutcome::Completed, clock_.now());

        const KeyRecord& record = tracker_.keys().at("a");
        EXPECT_EQ(record.runs, 2U);
        ASSERT_EQ(record.records.size(), 2U);
        EXPECT_EQ(record.records[0].outcome, RunOutcome::Cancelled);
        EXPECT_EQ(record.records[0].endedAt - record.records[0].startedAt, milliseconds(50));
        EXPECT_EQ(record.records[1].outcome, RunOutcome::Completed);
        EXPECT_EQ(tracker_.counts().cancelled, 1U);
        EXPECT_EQ(tracker_.counts().completed, 1U);
    }

    TEST_F(BackendRequestTrackerTest, RecordedKeysAreLimited)
    {
        tracker_.behaviour().slots = 10;
        for (const char* key : { "a", "b", "c" })
            EXPECT_FALSE(admit(key).shed);
        EXPECT_EQ(tracker_.keys().size(), 2U);
        EXPECT_EQ(tracker_.counts().unrecordedRuns, 1U);
        EXPECT_EQ(tracker_.counts().runs, 3U);
    }

    TEST_F(BackendRequestTrackerTest, DeadlinesAndColdRequests)
    {
        const auto late = admit("a", milliseconds(40));
        EXPECT_EQ(late.outcome, RunOutcome::DeadlineExceeded);
        EXPECT_EQ(late.endsAt, clock_.now() + milliseconds(40));
        tracker_.end(late.run, late.outcome, clock_.now());

        tracker_.behaviour().coldRequests = 1;
        EXPECT_EQ(admit("b").endsAt, clock_.now() + milliseconds(500));
        EXPECT_EQ(admit("b").endsAt, clock_.now() + milliseconds(100));
    }

    TEST(BackendStatusTest, LagAndOverridesOfTheReportedStatus)
    {
        ManualClock clock;
        BackendStatus status;
        for (std::size_t load = 1; load <= 5; ++load) {
            clock.advance(milliseconds(100));
            status.add({ clock.now(), BackendHealth::Healthy, load, 10 * load });
        }
        EXPECT_EQ(status.reported(clock.now()).runningRequests, 5U);
        status.overrides().lag = milliseconds(200);
        EXPECT_EQ(status.reported(clock.now()).runningRequests, 3U);
        EXPECT_EQ(status.reported(clock.now()).liveFlows, 30U);
        status.overrides().lag = std::chrono::hours(1);
        EXPECT_EQ(status.reported(clock.now()).runningRequests, 1U);
        status.overrides().runningRequests = 0;
        status.overrides().health = BackendHealth::Failing;
        EXPECT_EQ(status.reported(clock.now()).runningRequests, 0U);
        EXPECT_EQ(status.reported(clock.now()).health, BackendHealth::Failing);
    }

}
}
