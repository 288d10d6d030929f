#include "News/FleetSimulation.h"

#include <gtest/gtest.h>

#include <string>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Bound from the acknowledgement of the order until all balancers apply it.
    constexpr auto bound = 5s;

    // Two zones of three balancers and two servers each. The orders drain "nabua".
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

        // Expects each running balancer to have the zone drained or not. A drained zone gets no new flows.
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

    // Guards against balancers that do not receive an order, or its removal.
    TEST_P(ZoneDrainTest, DrainAndItsEndTakeEffectEverywhereWithinASecond)
    {
        fleet.drainZone("nabua");
        fleet.advance(1s);
        expectDrained(true);
        fleet.undrainZone("nabua");
        fleet.advance(1s);
        expectDrained(false);
    }

    // Guards against a zone that keeps sending flows to itself because the store rejects all of its balancers.
    TEST_P(ZoneDrainTest, ZoneRejectedByTheStoreReceivesTheDrainFromOthers)
    {
        for (auto& balancer : fleet.balancers())
            balancer.isRejectedByStore = balancer.availabilityZone == "nabua";
        fleet.advance(1s);
        fleet.drainZone("nabua");
        fleet.advance(bound / 2);
        expectDrained(true);
    }

    // Guards against an order that never arrives because messages were lost when it was given.
    TEST_P(ZoneDrainTest, DrainArrivesWhileAThirdOfTheMessagesIsLost)
    {
        fleet.lossRate = 0.33;
        fleet.drainZone("nabua");
        fleet.advance(bound);
        expectDrained(true);
    }

    // Guards against missing an order or its removal that the store has compacted.
    TEST_P(ZoneDrainTest, DrainInACompactedHistoryShowsInTheNextListing)
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

    // Guards against balancers that miss the order because they start after it, alone or all together.
    TEST_P(ZoneDrainTest, BalancersThatStartLaterApplyTheDrain)
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

    // Guards against a balancer that starts from a listing older than the order and keeps it.
    TEST_P(ZoneDrainTest, StaleListingFromBeforeTheDrainIsCorrected)
    {
        fleet.serveStaleListings(true);
        fleet.drainZone("nabua");
        fleet.advance(1s);
        for (std::size_t i = 0; i < fleet.balancers().size(); ++i)
            fleet.start(i);
        fleet.advance(bound / 2);
        expectDrained(true);
    }

    // Guards against a balancer that was frozen during the orders and applies an earlier one.
    TEST_P(ZoneDrainTest, LastOfSeveralOrdersWithinASecondTakesEffect)
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
