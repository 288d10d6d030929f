#include "News/FleetSimulation.h"

#include <gtest/gtest.h>

#include <string>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // The users' bound from the order's acknowledgement on, and what of it may go to the news.
    constexpr auto bound = 5s;

    // Two zones of three balancers and two servers each. Orders go to "nabua".
    struct ZoneDrainTest : testing::TestWithParam<std::uint32_t> {
        ZoneDrainTest()
        {
            fleet.writeConfiguration(2, { "tryon" });
            for (const std::uint64_t number : { 1, 2 })
                fleet.writeServer(ForwardFixture::server(number));
            for (const std::uint64_t number : { 11, 12 })
                fleet.writeServer(ForwardFixture::server(number, "tryon", "nabua"));
            fleet.advance(2s);
        }

        // Whether each balancer that runs keeps new flows out of the zone.
        void expectDrained(bool isDrained)
        {
            for (auto& balancer : fleet.balancers()) {
                if (balancer.isFrozen)
                    continue;
                EXPECT_EQ(balancer.router->emptiedZones().contains("nabua"), isDrained) << balancer.name;
                for (int i = 0; i < 10; ++i) {
                    const auto packet = ForwardFixture::opening(++caller, 0, FleetSimulation::routeOf(0));
                    const PacketDecision decision = balancer.router->route(packet, fleet.now());
                    if (decision.server && isDrained) {
                        EXPECT_NE(decision.server->entry.availabilityZone, "nabua") << balancer.name;
                    }
                }
            }
        }

        FleetSimulation fleet { GetParam() };
        std::uint32_t caller = 0;
    };

    // Guards against balancers that do not hear of an order, or of its end.
    TEST_P(ZoneDrainTest, anOrderIsInForceEverywhereWithinASecondAndSoIsItsEnd)
    {
        fleet.drainZone("nabua");
        fleet.advance(1s);
        expectDrained(true);
        fleet.undrainZone("nabua");
        fleet.advance(1s);
        expectDrained(false);
    }

    // Guards against a zone that goes on filling itself since the store answers nobody there.
    TEST_P(ZoneDrainTest, aZoneThatTheStoreTurnsAwayHearsOfItFromTheOthers)
    {
        for (auto& balancer : fleet.balancers())
            balancer.isRejectedByStore = balancer.availabilityZone == "nabua";
        fleet.advance(1s);
        fleet.drainZone("nabua");
        fleet.advance(bound / 2);
        expectDrained(true);
    }

    // Guards against an order that was given while messages were lost and never got round.
    TEST_P(ZoneDrainTest, ordersGetRoundWhileAThirdOfTheMessagesIsLost)
    {
        fleet.lossRate = 0.33;
        fleet.drainZone("nabua");
        fleet.advance(bound);
        expectDrained(true);
    }

    // Guards against an order or an end that fell into a history which the store has dropped.
    TEST_P(ZoneDrainTest, whatFellIntoADroppedHistoryShowsInTheNextListing)
    {
        fleet.isStoreDown = true;
        fleet.advance(1s);
        fleet.drainZone("nabua");
        fleet.compactHistory();
        fleet.isStoreDown = false;
        fleet.advance(bound);
        expectDrained(true);
        fleet.isStoreDown = true;
        fleet.advance(1s);
        fleet.undrainZone("nabua");
        fleet.compactHistory();
        fleet.isStoreDown = false;
        fleet.advance(bound);
        expectDrained(false);
    }

    // Guards against balancers that start after the order, alone or all together, and know nothing of it.
    TEST_P(ZoneDrainTest, whoStartsAfterTheOrderKeepsIt)
    {
        fleet.drainZone("nabua");
        for (std::size_t i = 0; i < fleet.balancers().size(); ++i)
            fleet.start(i);
        fleet.advance(bound / 2);
        expectDrained(true);
        fleet.start(4);
        fleet.advance(1s);
        expectDrained(true);
    }

    // Guards against a listing that is older than the order being kept for long by a balancer that starts.
    TEST_P(ZoneDrainTest, aListingFromBeforeTheOrderIsNotKept)
    {
        fleet.serveStaleListings(true);
        fleet.drainZone("nabua");
        fleet.advance(1s);
        for (std::size_t i = 0; i < fleet.balancers().size(); ++i)
            fleet.start(i);
        fleet.advance(bound / 2);
        expectDrained(true);
    }

    // Guards against balancers that were frozen during an order and its end and go on by one of them.
    TEST_P(ZoneDrainTest, orderRemovalAndOrderWithinASecondEndAsTheLastOne)
    {
        fleet.balancers()[4].isFrozen = true;
        fleet.drainZone("nabua");
        fleet.advance(200ms);
        fleet.undrainZone("nabua");
        fleet.advance(200ms);
        fleet.drainZone("nabua");
        fleet.balancers()[4].isFrozen = false;
        fleet.start(4);
        fleet.advance(bound / 2);
        expectDrained(true);
    }

    INSTANTIATE_TEST_SUITE_P(Seeds, ZoneDrainTest, testing::Range(1U, 21U));

}

}
