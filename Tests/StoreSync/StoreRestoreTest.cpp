#include "StoreSync/FleetSimulation.h"

#include <gtest/gtest.h>

#include <set>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // The store comes back from an older copy, in paused time.
    struct StoreRestoreTest : testing::Test {
        // The bound for a change of the configuration and for a server that leaves.
        static constexpr auto bound = 3000ms;
        // Operators and servers notice that the store was restored, and write again.
        static constexpr auto rewriteDelay = 400ms;

        FleetSimulation fleet { 1 };
        std::vector<RegisteredServer> servers;
        std::uint32_t nextCaller = 0;

        StoreRestoreTest()
        {
            fleet.writeConfiguration(2, { "tryon" });
            for (std::uint64_t number = 1; number <= 4; ++number) {
                servers.push_back(ForwardFixture::server(
                    number * 0x10001, "tryon", number % 2 == 0 ? "walu" : "nabua", static_cast<std::uint32_t>(number)));
                fleet.writeServer(servers.back());
            }
            fleet.advance(3s);
        }

        // Writes versions 3 to 22 of the configuration and restores the copy of before.
        void loseTwentyVersions()
        {
            const FleetSimulation::StoreCopy copy = fleet.copyStore();
            for (std::uint64_t version = 3; version <= 22; ++version)
                fleet.writeConfiguration(version, { "tryon" });
            fleet.advance(2s);
            fleet.restoreStore(copy);
        }

        void rewriteConfiguration()
        {
            fleet.advance(rewriteDelay);
            fleet.writeConfiguration(22, { "tryon" });
        }

        RegisteredServer drain(std::size_t index)
        {
            servers[index].readiness = ServerReadiness::Draining;
            fleet.writeServer(servers[index]);
            return servers[index];
        }

        // The ids of the servers to which the balancer sends new flows.
        std::set<std::string> serversOfNewFlows(FleetSimulation::Balancer& balancer)
        {
            std::set<std::string> ids;
            for (int i = 0; i < 50; ++i) {
                const TokenPacket packet = ForwardFixture::opening(++nextCaller, 0, FleetSimulation::routeOf(0));
                const PacketDecision decision = balancer.router->route(packet, fleet.now());
                if (decision.verdict == PacketVerdict::Forward)
                    ids.insert(decision.server->entry.id);
            }
            return ids;
        }
    };

    // Guards against changes that are ignored because the store gives out their revisions for the second time.
    TEST_F(StoreRestoreTest, ConfigurationWrittenAfterARestoreIsInForceInTime)
    {
        loseTwentyVersions();
        rewriteConfiguration();
        fleet.writeConfiguration(25, { "tryon" });
        fleet.advance(bound);
        for (auto& balancer : fleet.balancers())
            EXPECT_EQ(balancer.router->configurationVersion(), 25U) << balancer.name;
    }

    // Guards against new flows to a server whose notice that it leaves has a revision given out for the second time.
    TEST_F(StoreRestoreTest, ServerThatLeavesAfterARestoreGetsNoNewFlows)
    {
        loseTwentyVersions();
        rewriteConfiguration();
        const RegisteredServer leaving = drain(0);
        fleet.advance(bound);
        for (auto& balancer : fleet.balancers())
            EXPECT_FALSE(serversOfNewFlows(balancer).contains(leaving.id)) << balancer.name;
    }

    // Guards against watchers that list the store and have their watch refused in turn, without a pause.
    TEST_F(StoreRestoreTest, RestoredStoreIsNotCalledInALoop)
    {
        constexpr std::uint64_t seconds = 5;
        constexpr std::uint64_t callsPerSecondAndWatcher = 2;
        constexpr std::uint64_t watchers = FleetSimulation::zones * FleetSimulation::watchersPerZone;
        loseTwentyVersions();
        const std::uint64_t callsBefore = fleet.storeCalls();
        fleet.advance(std::chrono::seconds(seconds));
        EXPECT_LE(fleet.storeCalls() - callsBefore, seconds * callsPerSecondAndWatcher * watchers);
    }

}

}
