#include "FaultProxy/DelayLine.h"

#include <gtest/gtest.h>

#include <string>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    TEST(DelayLineTest, UnitsLeaveByTimeAndThenByArrival)
    {
        ManualClock clock;
        DelayLine<std::string> line(100);
        line.push(clock.now() + 2ms, "late");
        line.push(clock.now() + 1ms, "first");
        line.push(clock.now() + 1ms, "second");

        EXPECT_FALSE(line.takeDue(clock.now()));
        clock.advance(1ms);
        EXPECT_EQ(line.takeDue(clock.now()), "first");
        EXPECT_EQ(line.takeDue(clock.now()), "second");
        EXPECT_FALSE(line.takeDue(clock.now()));
        EXPECT_EQ(line.nextDue(), clock.now() + 1ms);
    }

    TEST(DelayLineTest, UnitsAboveTheCapacityAreDropped)
    {
        ManualClock clock;
        DelayLine<std::string> line(8);
        EXPECT_TRUE(line.push(clock.now(), "12345"));
        EXPECT_FALSE(line.push(clock.now(), "6789"));
        EXPECT_EQ(line.bytes(), 5u);
        EXPECT_EQ(line.takeDue(clock.now()), "12345");
        EXPECT_TRUE(line.push(clock.now(), "6789"));
    }

}
}
