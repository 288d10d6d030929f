#include "StoreSync/SlowLinkSimulation.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Bound from the write of a version to its arrival at the last balancer.
    constexpr auto appliedWithin = 5s;
    // Allowed control traffic of a balancer, and the time between two changes of the configuration.
    constexpr std::uint64_t controlBytesPerSecond = 4096;
    constexpr auto changeInterval = 30857ms;
    // A caller gives up opening a flow after this time.
    constexpr auto openingTimeout = 1400ms;

    // Two balancers have fast links and the others slow ones.
    const std::vector<SlowLinkSimulation::Link> mixedBandwidthZone { { 2, 200 }, { 22, 10 } };

    std::int64_t milliseconds(Duration time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    // Guards against fetches of a large configuration that overload the links of the few balancers that have it, time
    // out and start over.
    TEST(ConfigurationSpreadTest, VersionRightAfterALargeOneArrivesInTime)
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            SCOPED_TRACE(seed);
            SlowLinkSimulation fleet(seed, { { 20, 10 } });
            fleet.writeConfiguration(4, configurationText(4, 45, 0));
            fleet.advance(5s);
            fleet.writeConfiguration(7, configurationText(7, 1445, 0));
            fleet.advance(1s);
            fleet.writeConfiguration(10, configurationText(10, 1445, 1));
            for (int i = 0; i < 40; ++i) {
                fleet.write(fmt::format("server {}", i % 7), std::string(250, 'x'));
                fleet.advance(500ms);
            }
            for (const std::uint64_t version : { 7, 10 }) {
                ASSERT_TRUE(fleet.slowestArrival(version));
                EXPECT_LT(milliseconds(*fleet.slowestArrival(version)), milliseconds(appliedWithin)) << version;
            }
            EXPECT_EQ(fleet.corruptTexts(), 0U);
        }
    }

    // Guards against sending the whole configuration to every balancer for a small change.
    TEST(ConfigurationSpreadTest, ChangeOfOneRouteStaysWithinTheControlTrafficOfALargeZone)
    {
        SlowLinkSimulation fleet(1, { { 237, 200 } });
        fleet.writeConfiguration(1, configurationText(1, 2400, 0));
        fleet.advance(10s);
        fleet.takeMaxPeerBytes();
        const auto allowed = controlBytesPerSecond * static_cast<std::uint64_t>(milliseconds(changeInterval)) / 1000;
        for (const std::uint64_t version : { 2, 3 }) {
            fleet.writeConfiguration(version, configurationText(version, 2400, 1));
            fleet.advance(15s);
            ASSERT_TRUE(fleet.slowestArrival(version));
            EXPECT_LT(milliseconds(*fleet.slowestArrival(version)), milliseconds(appliedWithin));
            EXPECT_LT(fleet.takeMaxPeerBytes(), allowed);
        }
        EXPECT_EQ(fleet.corruptTexts(), 0U);
    }

    // Guards against a zone that learns only by gossip what its watcher read in a listing, after the store has dropped
    // its history.
    TEST(ConfigurationSpreadTest, ChangeInADroppedHistoryArrivesInTime)
    {
        SlowLinkSimulation fleet(1, { { 10, 200 }, { 187, 20 } });
        fleet.writeConfiguration(1, configurationText(1, 250, 0));
        fleet.advance(5s);
        fleet.setGossipInterval(1min);
        fleet.advance(1s);
        fleet.writeConfiguration(2, configurationText(2, 250, 1));
        fleet.write("server 1", std::string(200, 'x'));
        fleet.dropHistory();
        fleet.advance(appliedWithin);
        ASSERT_TRUE(fleet.slowestArrival(2));
        EXPECT_EQ(fleet.corruptTexts(), 0U);
    }

    // Guards against slow changes of a large configuration where the watcher of the zone has a slow link.
    TEST(ConfigurationSpreadTest, ChangesOfTenThousandRoutesArriveInTime)
    {
        for (std::uint32_t seed = 1; seed <= 3; ++seed) {
            SCOPED_TRACE(seed);
            SlowLinkSimulation fleet(seed, mixedBandwidthZone);
            fleet.writeConfiguration(1, configurationText(1, 10000, 0));
            fleet.advance(20s);
            fleet.writeConfiguration(2, configurationText(2, 10000, 1));
            fleet.advance(1s);
            fleet.writeConfiguration(3, configurationText(3, 10000, 1));
            fleet.advance(20s);
            for (const std::uint64_t version : { 2, 3 }) {
                ASSERT_TRUE(fleet.slowestArrival(version));
                EXPECT_LT(milliseconds(*fleet.slowestArrival(version)), milliseconds(appliedWithin)) << version;
            }
            EXPECT_EQ(fleet.corruptTexts(), 0U);
        }
    }

    // Guards against a start that waits for a large listing although a peer with a fast link has the configuration.
    TEST(ConfigurationSpreadTest, TenThousandRoutesArriveSoonAfterAPowerFailure)
    {
        for (std::uint32_t seed = 1; seed <= 3; ++seed) {
            SCOPED_TRACE(seed);
            SlowLinkSimulation fleet(seed, mixedBandwidthZone);
            fleet.writeConfiguration(1, configurationText(1, 10000, 0));
            fleet.advance(20s);
            fleet.restartAll();
            fleet.advance(openingTimeout);
            EXPECT_EQ(fleet.configuredBalancers(), fleet.size());
            fleet.advance(5s);
            EXPECT_EQ(fleet.configuredBalancers(), fleet.size());
        }
    }

    // Guards against a start at which all balancers read a large listing over the link of the store.
    TEST(ConfigurationSpreadTest, TenThousandRoutesReachHundredsOfBalancersSoonAfterAPowerFailure)
    {
        SlowLinkSimulation fleet(1, { { 15, 200 }, { 180, 20 } });
        fleet.writeConfiguration(1, configurationText(1, 10000, 0));
        fleet.advance(20s);
        fleet.restartAll();
        fleet.advance(openingTimeout);
        EXPECT_EQ(fleet.configuredBalancers(), fleet.size());
    }

    // The same failure in a zone without fast links.
    TEST(ConfigurationSpreadTest, TenThousandRoutesReachHundredsOfBalancersOnSlowLinks)
    {
        constexpr auto configuredWithin = 3100ms;
        SlowLinkSimulation fleet(1, { { 195, 20 } });
        fleet.writeConfiguration(1, configurationText(1, 10000, 0));
        fleet.advance(30s);
        fleet.restartAll();
        fleet.advance(configuredWithin);
        EXPECT_EQ(fleet.configuredBalancers(), fleet.size());
    }

}

}
