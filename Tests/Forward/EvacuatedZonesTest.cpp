#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Two servers in each of three zones. The balancer is in "walu".
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

        void evacuate(const std::string& zone) { router.setZoneEvacuation(zone, true, ++revision, clock.now()); }
        void revoke(const std::string& zone) { router.setZoneEvacuation(zone, false, ++revision, clock.now()); }

        // Opens flows that their servers answer. Returns the number of flows per zone; "" for flows without a server.
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

        void evacuateAll()
        {
            for (const char* zone : { "walu", "laucala", "nabua" })
                evacuate(zone);
        }
    };

    // Guards against broken open flows, and against new flows to an evacuated zone.
    TEST_F(EvacuatedZonesTest, NewFlowsAvoidAnEvacuatedZoneAndOpenFlowsStay)
    {
        const std::uint32_t token = openFlow(1);
        ASSERT_EQ(router.directory().findByToken(token)->entry.availabilityZone, "walu");
        evacuate("walu");
        auto flows = openFlows(100, 60);
        EXPECT_EQ(flows["walu"], 0);
        EXPECT_EQ(flows[""], 0);
        const PacketDecision later = route(data(1, token));
        EXPECT_EQ(later.verdict, PacketVerdict::Forward);
        EXPECT_EQ(later.server->token, token);
        revoke("walu");
        EXPECT_EQ(openFlows(200, 10)["walu"], 10);
    }

    // Guards against overloading one of the other zones, and against callers that wait for trial flows.
    TEST_F(EvacuatedZonesTest, FlowsAreSpreadOverTheOtherZonesAtOnce)
    {
        evacuate("walu");
        auto flows = openFlows(0, 60);
        EXPECT_GE(flows["laucala"], 20);
        EXPECT_GE(flows["nabua"], 20);
        EXPECT_EQ(flows[""], 0);
    }

    // Guards against callers that wait although no server may take their flow.
    TEST_F(EvacuatedZonesTest, FirstOpeningIsResetAtOnceIfAllZonesAreEvacuated)
    {
        evacuateAll();
        const PacketDecision first = route(opening(1));
        EXPECT_EQ(first.verdict, PacketVerdict::Reset);
        EXPECT_EQ(first.reason, PacketReason::ZonesEvacuated);
        EXPECT_EQ(route(opening(2, 1)).verdict, PacketVerdict::Drop);
        EXPECT_EQ(route(opening(2, 2)).verdict, PacketVerdict::Reset);
    }

    // Guards against the reset of an open flow by a late copy of its opening packet.
    TEST_F(EvacuatedZonesTest, FlowOpenedBeforeTheEvacuationIsNotReset)
    {
        const std::uint32_t token = openFlow(1);
        evacuateAll();
        const PacketDecision copy = route(opening(1, 1));
        EXPECT_EQ(copy.verdict, PacketVerdict::Forward);
        EXPECT_EQ(copy.server->token, token);
        EXPECT_EQ(route(data(1, token)).verdict, PacketVerdict::Forward);
    }

    // Guards against copies of opening packets that still go to an evacuated zone.
    TEST_F(EvacuatedZonesTest, CopyOfAnUnansweredOpeningLeavesTheEvacuatedZone)
    {
        ASSERT_EQ(route(opening(1)).server->entry.availabilityZone, "walu");
        evacuate("walu");
        clock.advance(200ms);
        const PacketDecision copy = route(opening(1, 1));
        ASSERT_TRUE(copy.server);
        EXPECT_NE(copy.server->entry.availabilityZone, "walu");
    }

    // Guards against an evacuated zone as last resort.
    TEST_F(EvacuatedZonesTest, EvacuationHoldsWhileAllOtherServersAreUnresponsive)
    {
        evacuate("walu");
        for (std::uint32_t caller = 0; caller < 60; ++caller) {
            const PacketDecision decision = route(opening(caller));
            ASSERT_TRUE(decision.server);
            EXPECT_NE(decision.server->entry.availabilityZone, "walu");
            clock.advance(100ms);
        }
    }

    // Guards against losing or reporting twice an evacuation that is repeated.
    TEST_F(EvacuatedZonesTest, EvacuationAndRevocationWithinASecond)
    {
        EXPECT_TRUE(router.setZoneEvacuation("walu", true, 50, clock.now()));
        EXPECT_FALSE(router.setZoneEvacuation("walu", true, 51, clock.now()));
        clock.advance(300ms);
        const auto revocation = router.setZoneEvacuation("walu", false, 52, clock.now());
        ASSERT_TRUE(revocation);
        EXPECT_EQ(revocation->inForceFor, Duration(300ms));
        EXPECT_FALSE(router.setZoneEvacuation("walu", false, 53, clock.now()));
        evacuate("walu");
        EXPECT_EQ(openFlows(0, 20)["walu"], 0);
    }

    // Guards against effects on other zones.
    TEST_F(EvacuatedZonesTest, EvacuationOfAnUnknownZoneChangesNothing)
    {
        evacuate("raiwai");
        EXPECT_EQ(openFlows(0, 20)["walu"], 20);
    }

    // Guards against flows to servers that start in an evacuated zone.
    TEST_F(EvacuatedZonesTest, ServerRegisteredDuringTheEvacuationGetsNoFlows)
    {
        evacuate("walu");
        RegisteredServer cold = server(3);
        cold.warmupLeft = 2s;
        put(cold);
        EXPECT_EQ(openFlows(0, 30)["walu"], 0);
    }

}

}
