#include "StoreSync/FleetSimulation.h"

#include <gtest/gtest.h>

#include <string>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Bound from the acknowledgement of the order until all balancers apply it.
    constexpr auto bound = 5s;

    // Two zones of three balancers and two servers each. The orders evacuate "nabua".
    struct ZoneEvacuationTest : testing::TestWithParam<std::uint32_t> {
        ZoneEvacuationTest()
        {
            fleet.writeConfiguration(2, { "tryon" });
            for (const std::uint64_t number : { 1, 2 })
                fleet.writeServer(ForwardFixture::server(number));
            for (const std::uint64_t number : { 11, 12 })
                fleet.writeServer(ForwardFixture::server(number, "tryon", "nabua"));
            fleet.advance(2s);
        }

        // Expects each running balancer to have the zone evacuated or not. An evacuated zone gets no new flows.
        void expectEvacuated(bool isEvacuated)
        {
            for (auto& balancer : fleet.balancers()) {
                if (balancer.isFrozen)
                    continue;
                EXPECT_EQ(balancer.router->evacuatedZones().contains("nabua"), isEvacuated) << balancer.name;
                for (int i = 0; i < 10; ++i) {
                    const auto packet = ForwardFixture::opening(++caller, 0, FleetSimulation::routeOf(0));
                    const PacketDecision decision = balancer.router->route(packet, fleet.now());
                    if (decision.server && isEvacuated) {
                        EXPECT_NE(decision.server->entry.availabilityZone, "nabua") << balancer.name;
                    }
                }
            }
        }

        FleetSimulation fleet { GetParam() };
        std::uint32_t caller = 0;
    };

    // Guards against balancers that do not receive an order, or its removal.
    TEST_P(ZoneEvacuationTest, EvacuationAndItsRevocationTakeEffectEverywhereWithinASecond)
    {
        fleet.evacuateZone("nabua");
        fleet.advance(1s);
        expectEvacuated(true);
        fleet.revokeEvacuation("nabua");
        fleet.advance(1s);
        expectEvacuated(false);
    }

    // Guards against a zone that keeps sending flows to itself because the store rejects all of its balancers.
    TEST_P(ZoneEvacuationTest, ZoneRejectedByTheStoreReceivesTheEvacuationFromOthers)
    {
        for (auto& balancer : fleet.balancers())
            balancer.isRejectedByStore = balancer.availabilityZone == "nabua";
        fleet.advance(1s);
        fleet.evacuateZone("nabua");
        fleet.advance(bound / 2);
        expectEvacuated(true);
    }

    // Guards against an order that never arrives because messages were lost when it was given.
    TEST_P(ZoneEvacuationTest, EvacuationArrivesWhileAThirdOfTheMessagesIsLost)
    {
        fleet.lossRate = 0.33;
        fleet.evacuateZone("nabua");
        fleet.advance(bound);
        expectEvacuated(true);
    }

    // Guards against missing an order or its removal that the store has compacted.
    TEST_P(ZoneEvacuationTest, EvacuationInACompactedHistoryShowsInTheNextListing)
    {
        fleet.isStoreDown = true;
        fleet.advance(1s);
        fleet.evacuateZone("nabua");
        fleet.compactHistory();
        fleet.isStoreDown = false;
        fleet.advance(bound);
        expectEvacuated(true);
        fleet.isStoreDown = true;
        fleet.advance(1s);
        fleet.revokeEvacuation("nabua");
        fleet.compactHistory();
        fleet.isStoreDown = false;
        fleet.advance(bound);
        expectEvacuated(false);
    }

    // Guards against balancers that miss the order because they start after it, alone or all together.
    TEST_P(ZoneEvacuationTest, BalancersThatStartLaterApplyTheEvacuation)
    {
        fleet.evacuateZone("nabua");
        for (std::size_t i = 0; i < fleet.balancers().size(); ++i)
            fleet.start(i);
        fleet.advance(bound / 2);
        expectEvacuated(true);
        fleet.start(4);
        fleet.advance(1s);
        expectEvacuated(true);
    }

    // Guards against a balancer that starts from a listing older than the order and keeps it.
    TEST_P(ZoneEvacuationTest, StaleListingFromBeforeTheEvacuationIsCorrected)
    {
        fleet.serveStaleListings(true);
        fleet.evacuateZone("nabua");
        fleet.advance(1s);
        for (std::size_t i = 0; i < fleet.balancers().size(); ++i)
            fleet.start(i);
        fleet.advance(bound / 2);
        expectEvacuated(true);
    }

    // Guards against a balancer that was frozen during the orders and applies an earlier one.
    TEST_P(ZoneEvacuationTest, LastOfSeveralOrdersWithinASecondTakesEffect)
    {
        fleet.balancers()[4].isFrozen = true;
        fleet.evacuateZone("nabua");
        fleet.advance(200ms);
        fleet.revokeEvacuation("nabua");
        fleet.advance(200ms);
        fleet.evacuateZone("nabua");
        fleet.balancers()[4].isFrozen = false;
        fleet.start(4);
        fleet.advance(bound / 2);
        expectEvacuated(true);
    }

    INSTANTIATE_TEST_SUITE_P(Seeds, ZoneEvacuationTest, testing::Range(1U, 21U));

}

}
