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

    // Guards against new flows to a server whose notice that it leaves the restored store has lost.
    TEST_F(StoreRestoreTest, ServerThatLeavesIsNotReadyAgainWhenTheStoreShowsItSo)
    {
        const FleetSimulation::StoreCopy copy = fleet.copyStore();
        const RegisteredServer leaving = drain(0);
        fleet.advance(1s);
        fleet.restoreStore(copy);
        for (int i = 0; i < 30; ++i) {
            fleet.advance(100ms);
            for (auto& balancer : fleet.balancers())
                EXPECT_FALSE(serversOfNewFlows(balancer).contains(leaving.id)) << balancer.name;
        }
    }

    // Guards against flows of a restarted server that are taken for those of its former process, whose entry is back.
    TEST_F(StoreRestoreTest, RestartedServerIsNotReplacedByItsFormerProcess)
    {
        servers[0].startedAt = 1000;
        fleet.writeServer(servers[0]);
        fleet.advance(1s);
        const FleetSimulation::StoreCopy copy = fleet.copyStore();
        servers[0].startedAt = 2000;
        fleet.writeServer(servers[0]);
        fleet.advance(11s);
        fleet.restoreStore(copy);
        fleet.advance(bound);
        for (auto& balancer : fleet.balancers())
            EXPECT_EQ(balancer.router->directory().find(servers[0].id)->entry.startedAt, 2000U) << balancer.name;
    }

    // Guards against a configuration that comes back older than the one in force.
    TEST_F(StoreRestoreTest, ConfigurationInForceDoesNotGoBack)
    {
        loseTwentyVersions();
        for (int i = 0; i < 30; ++i) {
            fleet.advance(100ms);
            for (auto& balancer : fleet.balancers())
                EXPECT_EQ(balancer.router->configurationVersion(), 22U) << balancer.name;
        }
        EXPECT_EQ(fleet.regressions(), 0U);
    }

    // Guards against giving up a server that the restored store lacks until it has registered again, and against using
    // it for good when it does not.
    TEST_F(StoreRestoreTest, ServerMissingInTheRestoredStoreIsGoneOnlyIfItStaysMissing)
    {
        const FleetSimulation::StoreCopy copy = fleet.copyStore();
        const RegisteredServer returning = ForwardFixture::server(0x50005, "tryon", "walu", 5);
        const RegisteredServer ended = ForwardFixture::server(0x60006, "tryon", "walu", 6);
        fleet.writeServer(returning);
        fleet.writeServer(ended);
        fleet.advance(1s);
        fleet.restoreStore(copy);
        for (int i = 0; i < 12; ++i) {
            fleet.advance(100ms);
            for (auto& balancer : fleet.balancers()) {
                const ServerState state = balancer.router->directory().find(returning.id)->state;
                EXPECT_NE(state, ServerState::Gone) << balancer.name;
            }
        }
        fleet.writeServer(returning);
        fleet.advance(bound);
        for (auto& balancer : fleet.balancers()) {
            EXPECT_EQ(balancer.router->directory().find(returning.id)->state, ServerState::Ready) << balancer.name;
            EXPECT_EQ(balancer.router->directory().find(ended.id)->state, ServerState::Gone) << balancer.name;
        }
    }

    // Guards against flows into a zone while the order to evacuate it is lost, and against refusing flows to a zone
    // whose evacuation has ended while the order is back.
    TEST_F(StoreRestoreTest, ZoneOrdersHoldUntilTheyAreWrittenAgain)
    {
        fleet.evacuateZone("walu");
        fleet.advance(1s);
        const FleetSimulation::StoreCopy copy = fleet.copyStore();
        fleet.revokeEvacuation("walu");
        fleet.evacuateZone("nabua");
        fleet.advance(1s);
        const auto expectOrdersHold = [&] {
            for (auto& balancer : fleet.balancers()) {
                EXPECT_TRUE(balancer.router->evacuatedZones().contains("nabua")) << balancer.name;
                EXPECT_FALSE(balancer.router->evacuatedZones().contains("walu")) << balancer.name;
            }
        };
        fleet.restoreStore(copy);
        for (int i = 0; i < 10; ++i) {
            fleet.advance(100ms);
            expectOrdersHold();
        }
        fleet.revokeEvacuation("walu");
        fleet.evacuateZone("nabua");
        fleet.advance(5s);
        expectOrdersHold();
    }

    // Guards against a zone that stays evacuated, or in use, for good although the restored store says otherwise.
    TEST_F(StoreRestoreTest, ZoneOrdersThatAreNotWrittenAgainEnd)
    {
        const FleetSimulation::StoreCopy copy = fleet.copyStore();
        fleet.evacuateZone("nabua");
        fleet.advance(1s);
        fleet.restoreStore(copy);
        fleet.advance(2 * bound);
        for (auto& balancer : fleet.balancers())
            EXPECT_FALSE(balancer.router->evacuatedZones().contains("nabua")) << balancer.name;
    }

    // Guards against work and messages for each of thousands of entries that a restore has not changed.
    TEST_F(StoreRestoreTest, UnchangedEntriesCostNothing)
    {
        const FleetSimulation::StoreCopy copy = fleet.copyStore();
        const std::uint64_t updatesBefore = fleet.appliedUpdates();
        const std::uint64_t fetchesBefore = fleet.fetches();
        fleet.restoreStore(copy);
        fleet.advance(rewriteDelay);
        for (const auto& [key, item] : copy.items)
            fleet.rewrite(item);
        fleet.advance(bound);
        for (auto& balancer : fleet.balancers())
            EXPECT_EQ(balancer.sync->replica().completeTo(), fleet.revision()) << balancer.name;
        EXPECT_EQ(fleet.appliedUpdates(), updatesBefore);
        EXPECT_EQ(fleet.fetches(), fetchesBefore);
    }

    // Guards against balancers of different eras that take each other's revisions for their own.
    TEST_F(StoreRestoreTest, TwoRestoresInQuickSuccessionLeadToOneContent)
    {
        for (const auto pause : { 0ms, 50ms, 700ms, 2600ms }) {
            const FleetSimulation::StoreCopy copy = fleet.copyStore();
            loseTwentyVersions();
            fleet.advance(pause);
            fleet.writeConfiguration(22, { "tryon" });
            fleet.restoreStore(copy);
            rewriteConfiguration();
            fleet.advance(bound);
            for (auto& balancer : fleet.balancers()) {
                EXPECT_EQ(balancer.sync->replica().completeTo(), fleet.revision()) << balancer.name;
                EXPECT_EQ(balancer.sync->replica().digest(), fleet.balancers()[0].sync->replica().digest());
            }
        }
    }

    // Guards against a balancer that was cut off from all others and the store, and keeps what the restore has undone.
    TEST_F(StoreRestoreTest, BalancerThatWasCutOffCatchesUp)
    {
        auto& cutOff = fleet.balancers()[2];
        const FleetSimulation::StoreCopy copy = fleet.copyStore();
        fleet.writeServer(ForwardFixture::server(0x70007, "tryon", "walu", 7));
        fleet.advance(1s);
        cutOff.isFrozen = true;
        fleet.restoreStore(copy);
        rewriteConfiguration();
        fleet.advance(5s);
        cutOff.isFrozen = false;
        fleet.advance(bound);
        EXPECT_EQ(cutOff.sync->replica().completeTo(), fleet.revision());
        EXPECT_EQ(cutOff.sync->replica().digest(), fleet.balancers()[0].sync->replica().digest());
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
