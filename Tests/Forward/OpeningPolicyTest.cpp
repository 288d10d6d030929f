#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct OpeningPolicyTest : testing::Test, ForwardFixture {
        OpeningPolicyTest() { router.applyConfiguration(configuration(3)); }

        // Opens flows one after the other, all of which stay open. Returns the number of flows per server.
        std::map<std::string, int> openFlows(std::uint32_t first, std::uint32_t count)
        {
            std::map<std::string, int> flows;
            for (std::uint32_t caller = first; caller < first + count; ++caller)
                ++flows[router.directory().findByToken(openFlow(caller))->entry.id];
            return flows;
        }
    };

    TEST_F(OpeningPolicyTest, LongFlowsAreSpreadEvenly)
    {
        for (const std::uint64_t number : { 1, 2, 3, 4, 5 })
            put(server(number));
        const auto flows = openFlows(0, 100);
        ASSERT_EQ(flows.size(), 5U);
        for (const auto& [id, count] : flows)
            EXPECT_EQ(count, 20) << id;
    }

    TEST_F(OpeningPolicyTest, ServerWithMoreSlotsGetsMoreFlows)
    {
        RegisteredServer large = server(1);
        large.slots = 6;
        put(large);
        put(server(2));
        const auto flows = openFlows(0, 80);
        EXPECT_GT(flows.at(large.id), 2 * flows.at(server(2).id));
    }

    TEST_F(OpeningPolicyTest, ColdServerGetsFewerFlows)
    {
        RegisteredServer cold = server(1);
        cold.warmupLeft = 5s;
        put(cold);
        put(server(2));
        auto flows = openFlows(0, 20);
        EXPECT_LT(flows[cold.id], flows[server(2).id]);
    }

    TEST_F(OpeningPolicyTest, OwnZoneIsPreferredUntilItIsLoaded)
    {
        put(server(1));
        put(server(2, "tryon", "nabua"));
        EXPECT_EQ(openFlows(0, 20)[server(1).id], 20);

        // Requests queue at the server of the own zone.
        const std::uint32_t token = tokenOf(1);
        for (std::uint32_t caller = 0; caller < 20; ++caller)
            route(data(caller, token, 1001, 5001, 100));
        EXPECT_EQ(openFlows(100, 1)[server(2).id], 1);
    }

    // Guards against openings that cost as much as there are servers in all zones together.
    TEST_F(OpeningPolicyTest, OtherZonesAreComparedOnlyWhileTheyCouldWin)
    {
        constexpr std::uint64_t serversPerZone = 10;
        for (std::uint64_t number = 1; number <= serversPerZone; ++number) {
            put(server(number));
            put(server(100 + number, "tryon", "nabua"));
            put(server(200 + number, "tryon", "laucala"));
        }
        EXPECT_EQ(route(opening(1)).choice.eligible, serversPerZone);
        {
            SCOPED_TRACE("no own server is idle");
            for (std::uint64_t number = 1; number <= serversPerZone; ++number) {
                for (std::uint32_t caller = 0; caller < 4; ++caller)
                    route(data(static_cast<std::uint32_t>(1000 + 10 * number) + caller, tokenOf(number)));
            }
            const PacketDecision decision = route(opening(2));
            EXPECT_EQ(decision.choice.eligible, 3 * serversPerZone);
            EXPECT_NE(decision.server->entry.availabilityZone, "walu");
        }
        {
            SCOPED_TRACE("the own servers are gone");
            for (std::uint64_t number = 1; number <= serversPerZone; ++number)
                router.removeServer(server(number).id, false, clock.now());
            EXPECT_EQ(route(opening(3)).choice.eligible, 2 * serversPerZone);
        }
    }

    // Guards against a server that is ejected only when flows of its own zone are chosen for it again.
    TEST_F(OpeningPolicyTest, UnansweredOpeningOfAnotherZoneIsReviewedWhileTheOwnZoneIsIdle)
    {
        put(server(2, "tryon", "nabua"));
        put(server(3, "tryon", "nabua"));
        const KnownServer* silent = route(opening(1)).server;
        put(server(1));
        clock.advance(200ms);
        const OpeningChoice choice = route(opening(2)).choice;
        ASSERT_EQ(choice.ejected.size(), 1U);
        EXPECT_EQ(choice.ejected.front(), silent);
        EXPECT_EQ(choice.server->entry.availabilityZone, "walu");
    }

    // Guards against sending new flows to each server of an unreachable zone in turn while the own servers are busy.
    TEST_F(OpeningPolicyTest, UnreachableZoneLosesFewFlows)
    {
        put(server(1));
        for (std::uint64_t number = 20; number < 30; ++number)
            put(server(number, "tryon", "nabua"));
        const std::uint32_t own = openFlow(0);
        ASSERT_EQ(own, tokenOf(1));
        for (std::uint32_t caller = 1; caller < 30; ++caller)
            route(data(caller, own, 1001, 5001, 100));

        int lost = 0;
        for (std::uint32_t caller = 100; caller < 400; ++caller) {
            const PacketDecision decision = route(opening(caller));
            lost += decision.server->entry.availabilityZone != "walu";
            clock.advance(20ms);
            // The server of the own zone keeps answering its flows.
            route(data(1, own, 1101, 5001 + caller, 0));
            route(data(1, own, 1101 + caller, 5001 + caller, 10));
        }
        // Trial flows within the 6 s: at 0, 0.65, 1.8 and 3.95 s, each perhaps with one more at the same moment.
        EXPECT_LE(lost, 8);
        EXPECT_GE(lost, 2);
        const auto changes = router.takeZoneChanges();
        ASSERT_GE(changes.size(), 3U);
        EXPECT_EQ(changes.back().availabilityZone, "nabua");
        EXPECT_FALSE(changes.back().hasRecovered);
    }

    TEST_F(OpeningPolicyTest, BalancersWithTheSameKnowledgeChooseTheSameServer)
    {
        for (std::uint32_t caller = 0; caller < 20; ++caller) {
            ForwardFixture fresh;
            fresh.router.applyConfiguration(configuration(3));
            for (const std::uint64_t number : { 1, 2, 3, 4, 5 })
                fresh.put(server(number));
            TokenRouter other(settings());
            other.applyConfiguration(configuration(3));
            for (const std::uint64_t number : { 3, 1, 5, 2, 4 })
                other.putServer(server(number), number, clock.now());
            EXPECT_EQ(fresh.route(opening(caller)).server->entry.id,
                other.route(opening(caller), clock.now()).server->entry.id);
        }
    }

    TEST_F(OpeningPolicyTest, WeightsSplitNewFlowsBetweenServices)
    {
        ForwardingConfiguration split = configuration(9);
        split.routes.front().shares = { { "tryon", 90 }, { "scanintake", 10 } };
        router.applyConfiguration(split);
        put(server(1));
        put(server(2, "scanintake"));
        int scans = 0;
        for (std::uint32_t caller = 0; caller < 1000; ++caller)
            scans += route(opening(caller)).server->entry.service == "scanintake";
        EXPECT_GT(scans, 50);
        EXPECT_LT(scans, 160);
        EXPECT_EQ(route(opening(7)).server->entry.service, route(opening(7, 1)).server->entry.service);
    }

}

}
