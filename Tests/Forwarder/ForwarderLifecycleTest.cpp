#include "Forwarder/ForwarderLifecycle.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    TEST(ForwarderLifecycleTest, readyOnceInformedUntilToldToStop)
    {
        ManualClock clock;
        ForwarderLifecycle life;
        EXPECT_FALSE(life.isReady());
        EXPECT_TRUE(life.noteInformed());
        EXPECT_FALSE(life.noteInformed());
        EXPECT_TRUE(life.isReady());
        EXPECT_TRUE(life.stop(clock.now()));
        EXPECT_FALSE(life.stop(clock.now()));
        EXPECT_FALSE(life.isReady());
    }

    // Symptom: flows broke at each planned stop.
    // Sequence: the process ends at once, while routers hand it packets for another second, or longer where a zone has
    // no other balancer.
    // Cause: the end of the duty to be ready was taken for the end of the packets.
    TEST(ForwarderLifecycleTest, itEndsWhenNoPacketComesAnyMoreAndBeforeItWouldBeKilled)
    {
        ManualClock clock;
        ForwarderLifecycle quiet;
        quiet.noteInformed();
        quiet.stop(clock.now());
        ForwarderLifecycle busy = quiet;
        clock.advance(1400ms);
        EXPECT_FALSE(quiet.isOver(clock.now()));
        busy.notePacket(clock.now());
        clock.advance(100ms);
        EXPECT_TRUE(quiet.isOver(clock.now()));
        EXPECT_FALSE(busy.isOver(clock.now()));
        while (clock.now() < TimePoint(1h) + 5400ms) {
            clock.advance(100ms);
            busy.notePacket(clock.now());
        }
        EXPECT_FALSE(busy.isOver(clock.now()));
        clock.advance(100ms);
        EXPECT_TRUE(busy.isOver(clock.now()));
    }

}

}
