#include "Forwarder/ForwarderLifecycle.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    TEST(ForwarderLifecycleTest, ReadyFromTheFirstSyncToTheStop)
    {
        ManualClock clock;
        ForwarderLifecycle lifecycle;
        EXPECT_FALSE(lifecycle.isReady());
        EXPECT_TRUE(lifecycle.noteSynced());
        EXPECT_FALSE(lifecycle.noteSynced());
        EXPECT_TRUE(lifecycle.isReady());
        EXPECT_TRUE(lifecycle.stop(clock.now()));
        EXPECT_FALSE(lifecycle.stop(clock.now()));
        EXPECT_FALSE(lifecycle.isReady());
    }

    // Guards against a planned stop that breaks flows because the process exits while routers still send it packets.
    TEST(ForwarderLifecycleTest, StopEndsWithoutPacketsOrBeforeTheKill)
    {
        ManualClock clock;
        ForwarderLifecycle idle;
        idle.noteSynced();
        idle.stop(clock.now());
        ForwarderLifecycle busy = idle;
        clock.advance(1400ms);
        EXPECT_FALSE(idle.isStopped(clock.now()));
        busy.notePacket(clock.now());
        clock.advance(100ms);
        EXPECT_TRUE(idle.isStopped(clock.now()));
        EXPECT_FALSE(busy.isStopped(clock.now()));
        while (clock.now() < TimePoint(1h) + 5400ms) {
            clock.advance(100ms);
            busy.notePacket(clock.now());
        }
        EXPECT_FALSE(busy.isStopped(clock.now()));
        clock.advance(100ms);
        EXPECT_TRUE(busy.isStopped(clock.now()));
    }

}

}
