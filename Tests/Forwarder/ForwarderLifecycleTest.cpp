#include "Forwarder/ForwarderLifecycle.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    TEST(ForwarderLifecycleTest, readyOnceInformedUntilToldToStop)
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

    // Symptom: flows broke at each planned stop.
    // Sequence: the process ends at once, while routers hand it packets for another second, or longer where a zone has
    // no other balancer.
    // Cause: the end of the duty to be ready was taken for the end of the packets.
    TEST(ForwarderLifecycleTest, itEndsWhenNoPacketComesAnyMoreAndBeforeItWouldBeKilled)
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
