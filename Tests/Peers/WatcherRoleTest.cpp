#include "Peers/WatcherRole.h"

#include "Support/MembershipNetwork.h"

#include <gtest/gtest.h>

#include <set>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t zones = 5;
    constexpr std::size_t seeds = 3;
    // The first balancers of each zone have fast links.
    constexpr std::size_t fastLinksPerZone = 3;
    constexpr WatcherCounts counts { 1, 3, 3 };
    // Data read at the start may be seconds old, so that a zone must be watched soon after it.
    constexpr auto maxTimeToWatch = 2s;

    // Simulated balancers that start together, and which of them watch.
    struct Fleet {
        MembershipNetwork network { 11 };
        std::vector<WatcherRole> roles;
        std::set<std::size_t> watchersSoFar;
        std::vector<Duration> timeToWatch = std::vector<Duration>(zones, Duration::max());
        TimePoint startedAt;

        void start(std::size_t count, std::size_t knownSeeds)
        {
            startedAt = network.now;
            for (std::size_t i = 0; i < count; ++i) {
                network.linkMegabits = i < zones * fastLinksPerZone ? 200 : 20;
                network.addWithSeeds(fmt::format("zone{}", i % zones), knownSeeds);
                roles.emplace_back(WatcherRoleSettings { .counts = counts });
                roles.back().start(knownSeeds > 0, network.now);
            }
        }

        void run(Duration time)
        {
            for (const TimePoint end = network.now + time; network.now < end;) {
                network.run(100ms);
                recordWatchers();
            }
        }

        void recordWatchers()
        {
            for (std::size_t i = 0; i < roles.size(); ++i) {
                if (!network.isRunning(i) || !roles[i].isWatcher(*network.nodes()[i].membership, network.now))
                    continue;
                watchersSoFar.insert(i);
                timeToWatch[i % zones] = std::min(timeToWatch[i % zones], network.now - startedAt);
            }
        }
    };

    // Guards against a burst of watches when a whole fleet starts and each balancer still knows few others.
    TEST(WatcherRoleTest, FewBalancersWatchWhenAllStartTogether)
    {
        Fleet fleet;
        fleet.start(195, seeds);
        fleet.run(20s);
        EXPECT_LE(fleet.watchersSoFar.size(), 2 * zones);
        for (const Duration after : fleet.timeToWatch)
            EXPECT_LE(after, maxTimeToWatch);
    }

    TEST(WatcherRoleTest, ASmallFleetIsWatchedSoonAfterItsStart)
    {
        Fleet fleet;
        fleet.start(2 * zones, seeds);
        fleet.run(3s);
        for (const Duration after : fleet.timeToWatch)
            EXPECT_LE(after, 2s);
    }

    TEST(WatcherRoleTest, AnIsolatedBalancerWatches)
    {
        Fleet fleet;
        // No message is delivered.
        fleet.network.isCut = [](std::size_t, std::size_t) { return true; };
        fleet.start(zones, seeds);
        fleet.run(4s);
        EXPECT_EQ(fleet.watchersSoFar.size(), zones);
        {
            SCOPED_TRACE("at once when no address of another balancer is known");
            Fleet single;
            single.start(1, 0);
            single.run(100ms);
            EXPECT_EQ(single.watchersSoFar.size(), 1U);
        }
    }

    TEST(WatcherRoleTest, ADeadWatcherIsReplaced)
    {
        Fleet fleet;
        fleet.start(40, seeds);
        fleet.run(10s);
        for (const std::size_t watcher : std::set<std::size_t>(fleet.watchersSoFar))
            fleet.network.kill(watcher);
        fleet.startedAt = fleet.network.now;
        fleet.timeToWatch.assign(zones, Duration::max());
        fleet.run(15s);
        for (const Duration after : fleet.timeToWatch)
            EXPECT_LE(after, 15s);
    }

}

}
