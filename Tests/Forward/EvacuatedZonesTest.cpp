#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Two servers in each of three zones; this balancer is in "walu".
    struct EvacuatedZonesTest : testing::Test, ForwardFixture {
        EvacuatedZonesTest()
        {
            router.applyConfiguration(configuration(3));
            for (const std::uint64_t number : { 1, 2 })
                put(server(number));
            for (const std::uint64_t number : { 11, 12 })
                put(server(number, "tryon", "laucala"));
            for (const std::uint64_t number : { 21, 22 })
                put(server(number, "tryon", "nabua"));
        }

        void order(const std::string& zone) { router.setZoneEvacuation(zone, true, ++revision, clock.now()); }
        void takeBack(const std::string& zone) { router.setZoneEvacuation(zone, false, ++revision, clock.now()); }

        // Opens flows that their servers answer. Returns how many each zone got; those that got none as "".
        std::map<std::string, int> openFlows(std::uint32_t first, std::uint32_t count)
        {
            std::map<std::string, int> flows;
            for (std::uint32_t caller = first; caller < first + count; ++caller) {
                const PacketDecision decision = route(opening(caller));
                ++flows[decision.server ? decision.server->entry.availabilityZone : ""];
                if (!decision.server)
                    continue;
                clock.advance(5ms);
                route(data(caller, decision.server->token, 1001, 5001, 0));
            }
            return flows;
        }

        void orderAll()
        {
            for (const char* zone : { "walu", "laucala", "nabua" })
                order(zone);
        }
    };

    // Guards against flows that are broken or new ones that go on when a zone is emptied.
    TEST_F(EvacuatedZonesTest, newFlowsLeaveAnEmptiedZoneAndOpenOnesStay)
    {
        const std::uint32_t token = openFlow(1);
        ASSERT_EQ(router.directory().findByToken(token)->entry.availabilityZone, "walu");
        order("walu");
        auto flows = openFlows(100, 60);
        EXPECT_EQ(flows["walu"], 0);
        EXPECT_EQ(flows[""], 0);
        const PacketDecision later = route(data(1, token));
        EXPECT_EQ(later.verdict, PacketVerdict::Forward);
        EXPECT_EQ(later.server->token, token);
        takeBack("walu");
        EXPECT_EQ(openFlows(200, 10)["walu"], 10);
    }

    // Guards against one of the other zones getting everything, or callers waiting while the others prove themselves.
    TEST_F(EvacuatedZonesTest, callersOfTheOwnEmptiedZoneAreSpreadOverTheOthersAtOnce)
    {
        order("walu");
        auto flows = openFlows(0, 60);
        EXPECT_GE(flows["laucala"], 20);
        EXPECT_GE(flows["nabua"], 20);
        EXPECT_EQ(flows[""], 0);
    }

    // Guards against callers who wait for a server that no balancer may give them.
    TEST_F(EvacuatedZonesTest, withAllZonesEmptiedAFirstOpeningIsRefusedAtOnce)
    {
        orderAll();
        const PacketDecision first = route(opening(1));
        EXPECT_EQ(first.verdict, PacketVerdict::Reset);
        EXPECT_EQ(first.reason, PacketReason::ZonesEvacuated);
        EXPECT_EQ(route(opening(2, 1)).verdict, PacketVerdict::Drop);
        EXPECT_EQ(route(opening(2, 2)).verdict, PacketVerdict::Reset);
    }

    // Guards against the reset of a flow that opened at a server before the order, of which a late copy comes.
    TEST_F(EvacuatedZonesTest, aFlowThatOpenedBeforeTheOrderIsNotReset)
    {
        const std::uint32_t token = openFlow(1);
        orderAll();
        const PacketDecision copy = route(opening(1, 1));
        EXPECT_EQ(copy.verdict, PacketVerdict::Forward);
        EXPECT_EQ(copy.server->token, token);
        EXPECT_EQ(route(data(1, token)).verdict, PacketVerdict::Forward);
    }

    // Guards against copies that still enter a zone after the order.
    TEST_F(EvacuatedZonesTest, aCopyOfAnUnansweredOpeningLeavesTheEmptiedZone)
    {
        ASSERT_EQ(route(opening(1)).server->entry.availabilityZone, "walu");
        order("walu");
        clock.advance(200ms);
        const PacketDecision copy = route(opening(1, 1));
        ASSERT_TRUE(copy.server);
        EXPECT_NE(copy.server->entry.availabilityZone, "walu");
    }

    // Guards against the choice of last resort, a silent server, passing over the order.
    TEST_F(EvacuatedZonesTest, whenAllOthersAreSilentTheOrderStillHolds)
    {
        order("walu");
        for (std::uint32_t caller = 0; caller < 60; ++caller) {
            const PacketDecision decision = route(opening(caller));
            ASSERT_TRUE(decision.server);
            EXPECT_NE(decision.server->entry.availabilityZone, "walu");
            clock.advance(100ms);
        }
    }

    // Guards against an order that is lost or counted twice when it comes again.
    TEST_F(EvacuatedZonesTest, orderAndRemovalMayAlternateWithinASecond)
    {
        EXPECT_TRUE(router.setZoneEvacuation("walu", true, 50, clock.now()));
        EXPECT_FALSE(router.setZoneEvacuation("walu", true, 51, clock.now()));
        clock.advance(300ms);
        const auto back = router.setZoneEvacuation("walu", false, 52, clock.now());
        ASSERT_TRUE(back);
        EXPECT_EQ(back->inForceFor, Duration(300ms));
        EXPECT_FALSE(router.setZoneEvacuation("walu", false, 53, clock.now()));
        order("walu");
        EXPECT_EQ(openFlows(0, 20)["walu"], 0);
    }

    // Guards against an order for a zone without servers disturbing the others.
    TEST_F(EvacuatedZonesTest, anOrderForAZoneThatNobodyKnowsChangesNothing)
    {
        order("raiwai");
        EXPECT_EQ(openFlows(0, 20)["walu"], 20);
    }

    // Guards against servers that register, or return cold, in a zone that is still emptied.
    TEST_F(EvacuatedZonesTest, serversThatRegisterDuringTheOrderGetNothing)
    {
        order("walu");
        RegisteredServer cold = server(3);
        cold.warmupLeft = 2s;
        put(cold);
        EXPECT_EQ(openFlows(0, 30)["walu"], 0);
    }

}

}
