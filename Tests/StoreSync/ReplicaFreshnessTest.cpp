#include "StoreSync/FreshnessSimulation.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto smallBound = 3s;
    constexpr auto largeBound = 8s;
    constexpr std::uint64_t seeds = 20;
    // Most questions to the store for one loss of all watchers of a zone.
    constexpr std::uint64_t maxQuestionsOfAZone = 10;
    // 1% of the 2,000 reads a second that a platform's store takes.
    constexpr double maxQuestionsPerSecond = 20;

    void addMany(FreshnessSimulation& fleet, const std::string& zone, std::size_t count, bool areEarlier = false)
    {
        for (std::size_t i = 0; i < count; ++i)
            fleet.add(zone, areEarlier);
    }

    std::vector<std::size_t> alive(FreshnessSimulation& fleet)
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < fleet.balancers().size(); ++i) {
            if (fleet.balancers()[i].isAlive)
                found.push_back(i);
        }
        return found;
    }

    void killWatchers(FreshnessSimulation& fleet, const std::string& zone)
    {
        for (const std::size_t index : fleet.watchersOf(zone))
            fleet.kill(index);
    }

    Duration oldestView(FreshnessSimulation& fleet)
    {
        Duration oldest {};
        for (const std::size_t index : alive(fleet)) {
            if (fleet.balancers()[index].freshness)
                oldest = std::max(oldest, fleet.ageOf(index));
        }
        return oldest;
    }

    // Advances by the time and returns how old the oldest view was meanwhile.
    Duration oldestViewDuring(FreshnessSimulation& fleet, Duration time)
    {
        constexpr auto step = 50ms;
        Duration oldest {};
        for (Duration passed {}; passed < time; passed += step) {
            fleet.advance(step);
            oldest = std::max(oldest, oldestView(fleet));
        }
        return oldest;
    }

    // Advances until all balancers that run have the revision, and returns how long that took.
    Duration timeUntilAllHave(FreshnessSimulation& fleet, std::uint64_t revision, Duration limit)
    {
        constexpr auto step = 10ms;
        Duration passed {};
        const auto isBehind = [&](std::size_t index) { return fleet.revisionOf(index) < revision; };
        while (passed < limit && std::ranges::any_of(alive(fleet), isBehind)) {
            fleet.advance(step);
            passed += step;
        }
        return passed;
    }

    // Ten balancers of three zones, two of which have just been added, lose eight at once. Servers begin to drain in
    // the 0.3 s before, in which the watchers pause. Returns how long after the last of these writes all left know
    // them.
    Duration timeToLearnOfDrainsAfterLoss(
        std::uint64_t seed, std::chrono::milliseconds bound, bool isOneRejected = false)
    {
        FreshnessSimulation fleet(seed, bound);
        constexpr std::array zones { "walu", "nabua", "laucala" };
        constexpr std::size_t established = 8;
        constexpr std::size_t total = 10;
        for (std::size_t i = 0; i < established; ++i)
            fleet.add(zones[i % zones.size()]);
        fleet.advance(12s);
        for (int server = 0; server < 20; ++server)
            fleet.write(fmt::format("servers/{}", server), "ready");
        fleet.advance(5s);
        for (std::size_t i = established; i < total; ++i)
            fleet.add(zones[i % zones.size()]);
        fleet.advance(1500ms);
        // The first one makes the watchers pause, so that none learns of the others.
        std::uint64_t revision = fleet.write("servers/0", "draining");
        fleet.advance(50ms);
        for (int server = 1; server < 5; ++server) {
            revision = fleet.write(fmt::format("servers/{}", server), "draining");
            fleet.advance(40ms);
        }
        std::vector<std::size_t> order(total);
        for (std::size_t i = 0; i < total; ++i)
            order[i] = i;
        std::ranges::shuffle(order, fleet.random());
        for (std::size_t i = 0; i < established; ++i)
            fleet.kill(order[i]);
        fleet.balancers()[order.back()].isRejectedByStore = isOneRejected;
        return 40ms + timeUntilAllHave(fleet, revision, 20s);
    }

    // The longest of these times over all seeds.
    Duration longestTimeToLearnOfDrains(std::chrono::milliseconds bound)
    {
        Duration longest {};
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            longest = std::max(longest, timeToLearnOfDrainsAfterLoss(seed, bound));
        testing::Test::RecordProperty("longest_ms", fmt::format("{}", longest / 1ms));
        return longest;
    }

    // Guards against a loss of most balancers after which those left have an old view until membership has noticed.
    TEST(ReplicaFreshnessTest, ThoseLeftOfALossKnowWhatCameJustBefore)
    {
        EXPECT_LT(longestTimeToLearnOfDrains(smallBound), Duration(smallBound));
    }

    // Guards against a simulation in which membership alone is fast enough, so that the test above proves nothing.
    TEST(ReplicaFreshnessTest, MembershipAloneIsTooSlowForThoseLeftOfALoss)
    {
        EXPECT_GT(longestTimeToLearnOfDrains(0s), Duration(smallBound));
    }

    // Guards against one of two left that the store rejects and that waits for a push of the other.
    TEST(ReplicaFreshnessTest, OneOfThoseLeftIsRejectedByTheStore)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            SCOPED_TRACE(seed);
            EXPECT_LT(timeToLearnOfDrainsAfterLoss(seed, smallBound, true), Duration(smallBound));
        }
    }

    struct ZoneOf200 : testing::Test {
        FreshnessSimulation fleet { 1, largeBound };

        ZoneOf200() { start(fleet); }

        static void start(FreshnessSimulation& fleet)
        {
            addMany(fleet, "walu", 200);
            addMany(fleet, "nabua", 6);
            addMany(fleet, "laucala", 6);
            fleet.advance(30s);
        }
    };

    // Guards against a zone in which each balancer asks the store at once.
    TEST(ReplicaFreshnessTest, FewAskTheStoreWhenAllWatchersOfAZoneAreLost)
    {
        std::uint64_t most = 0;
        for (const std::uint64_t seed : { 1U, 2U, 3U }) {
            SCOPED_TRACE(seed);
            FreshnessSimulation fleet(seed, largeBound);
            ZoneOf200::start(fleet);
            const std::uint64_t before = fleet.questions();
            ASSERT_FALSE(fleet.watchersOf("walu").empty());
            killWatchers(fleet, "walu");
            const std::uint64_t revision = fleet.write("servers/1", "draining");
            EXPECT_LT(timeUntilAllHave(fleet, revision, 20s), Duration(largeBound));
            EXPECT_LT(oldestViewDuring(fleet, 20s), Duration(largeBound));
            EXPECT_LE(fleet.questions() - before, maxQuestionsOfAZone);
            EXPECT_GE(fleet.questions() - before, 1U);
            most = std::max(most, fleet.questions() - before);
        }
        RecordProperty("questions", std::to_string(most));
    }

    // Guards against heartbeats that do not arrive through the relay tree, and against more of them than one in each
    // sixth of the bound.
    TEST_F(ZoneOf200, HeartbeatsReachAllAtTheirInterval)
    {
        constexpr auto observed = 40s;
        std::vector<std::uint64_t> before;
        for (const auto& balancer : fleet.balancers())
            before.push_back(balancer.heartbeats);
        const std::uint64_t questions = fleet.questions();
        EXPECT_LT(oldestViewDuring(fleet, observed), Duration(largeBound) / 3);
        EXPECT_EQ(fleet.questions(), questions);
        const auto intervals = static_cast<std::uint64_t>(observed / (Duration(largeBound) / 6));
        for (std::size_t i = 0; i < before.size(); ++i)
            EXPECT_LE(fleet.balancers()[i].heartbeats - before[i], intervals + 1) << i;
    }

    // Guards against a store outage together with the loss of the watchers, in which each balancer calls the store
    // again and again.
    TEST_F(ZoneOf200, CallsStayBoundedWhenTheStoreIsDownToo)
    {
        for (const auto state : { FreshnessSimulation::StoreState::Down, FreshnessSimulation::StoreState::Silent }) {
            SCOPED_TRACE(static_cast<int>(state));
            const std::uint64_t before = fleet.questions();
            fleet.store = state;
            killWatchers(fleet, "walu");
            fleet.advance(60s);
            EXPECT_LT(static_cast<double>(fleet.questions() - before) / 60, maxQuestionsPerSecond);
            RecordProperty(
                fmt::format("questions_{}", static_cast<int>(state)), std::to_string(fleet.questions() - before));
            fleet.store = FreshnessSimulation::StoreState::Up;
            fleet.advance(20s);
            EXPECT_LT(oldestView(fleet), Duration(largeBound));
        }
    }

    struct SmallFleet : testing::Test {
        FreshnessSimulation fleet { 1, smallBound };

        SmallFleet()
        {
            for (const char* zone : { "walu", "nabua", "laucala" })
                addMany(fleet, zone, 6);
            fleet.advance(20s);
        }
    };

    // Guards against a balancer that counts as fresh, or as stale, for another reason than what it has heard.
    TEST_F(SmallFleet, ViewsStayFreshWithoutQuestions)
    {
        const std::uint64_t before = fleet.questions();
        EXPECT_LT(oldestViewDuring(fleet, 20s), Duration(smallBound) / 3);
        EXPECT_EQ(fleet.questions(), before);
        for (const auto& balancer : fleet.balancers())
            EXPECT_EQ(balancer.staleLogs, 0U);
    }

    // Guards against a fleet that starts together and of which each balancer asks the store.
    TEST(ReplicaFreshnessTest, FewAskTheStoreWhenAllStartTogether)
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            SCOPED_TRACE(seed);
            FreshnessSimulation fleet(seed, smallBound);
            for (const char* zone : { "walu", "nabua", "laucala" })
                addMany(fleet, zone, 20);
            const std::uint64_t revision = fleet.write("servers/1", "draining");
            EXPECT_LT(timeUntilAllHave(fleet, revision, 10s), Duration(smallBound));
            fleet.advance(10s);
            EXPECT_LE(fleet.questions(), 3 * maxQuestionsOfAZone);
            EXPECT_LT(oldestViewDuring(fleet, 5s), Duration(smallBound) / 3);
        }
    }

    // Guards against a planned stop of a watcher that counts as a loss. It hands over by membership.
    TEST_F(SmallFleet, AWatcherThatStopsHandsOver)
    {
        const std::uint64_t before = fleet.questions();
        const std::size_t watcher = fleet.watchersOf("walu").at(0);
        fleet.stop(watcher);
        EXPECT_LT(oldestViewDuring(fleet, 6s), Duration(smallBound));
        EXPECT_LE(fleet.questions() - before, maxQuestionsOfAZone);
        EXPECT_FALSE(fleet.watchersOf("walu").empty());
    }

    // Guards against a watcher that hears nobody and stops to tell its zone, or makes it ask.
    TEST_F(SmallFleet, AWatcherThatReceivesNothingKeepsItsZoneFresh)
    {
        const std::size_t watcher = fleet.watchersOf("walu").at(0);
        fleet.isCut = [watcher](std::size_t, std::size_t to) { return to == watcher; };
        EXPECT_LT(oldestViewDuring(fleet, 20s), Duration(smallBound));
        const std::uint64_t revision = fleet.write("servers/1", "draining");
        EXPECT_LT(timeUntilAllHave(fleet, revision, 10s), Duration(smallBound));
    }

    // Guards against a watcher whose connection to the store is dead, and whose zone takes its view for current.
    TEST_F(SmallFleet, AWatcherThatTheStoreDoesNotReachIsReplaced)
    {
        const std::size_t watcher = fleet.watchersOf("walu").at(0);
        fleet.balancers()[watcher].isCutFromStore = true;
        const std::uint64_t revision = fleet.write("servers/1", "draining");
        EXPECT_LT(timeUntilAllHave(fleet, revision, 10s), Duration(smallBound));
        const std::uint64_t before = fleet.questions();
        fleet.advance(10s);
        EXPECT_LT(oldestViewDuring(fleet, 10s), Duration(smallBound));
        EXPECT_EQ(fleet.questions(), before);
    }

    // Guards against a zone that the store rejects and whose balancers each ask it, although their watcher lives.
    TEST_F(SmallFleet, AZoneThatTheStoreRejectsDoesNotAsk)
    {
        for (auto& balancer : fleet.balancers())
            balancer.isRejectedByStore = balancer.self.availabilityZone == "walu";
        fleet.advance(5s);
        const std::uint64_t before = fleet.questions();
        fleet.advance(30s);
        EXPECT_LE(fleet.questions(), before);
        const std::uint64_t revision = fleet.write("servers/1", "draining");
        EXPECT_LT(timeUntilAllHave(fleet, revision, 10s), Duration(smallBound));
    }

    // Guards against a first question that the store rejects and that keeps the others from asking.
    TEST(ReplicaFreshnessTest, TheStoreRejectsAThirdWhenTheWatchersAreLost)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            SCOPED_TRACE(seed);
            FreshnessSimulation fleet(seed, smallBound);
            for (const char* zone : { "walu", "nabua", "laucala" })
                addMany(fleet, zone, 12);
            fleet.advance(20s);
            for (std::size_t i = 0; i < fleet.balancers().size(); i += 3)
                fleet.balancers()[i].isRejectedByStore = true;
            fleet.write("servers/0", "draining");
            fleet.advance(60ms);
            const std::uint64_t revision = fleet.write("servers/1", "draining");
            for (const char* zone : { "walu", "nabua", "laucala" })
                killWatchers(fleet, zone);
            EXPECT_LT(timeUntilAllHave(fleet, revision, 10s), Duration(smallBound));
        }
    }

    // Guards against lost heartbeats that make balancers ask the store.
    TEST(ReplicaFreshnessTest, LostHeartbeatsAreMadeUpForByPeers)
    {
        FreshnessSimulation fleet(1, smallBound);
        for (const char* zone : { "walu", "nabua", "laucala" })
            addMany(fleet, zone, 6);
        fleet.advance(20s);
        {
            SCOPED_TRACE("one in ten");
            fleet.lossRate = 0.1;
            const std::uint64_t before = fleet.questions();
            EXPECT_LT(oldestViewDuring(fleet, 60s), Duration(smallBound));
            EXPECT_LT(static_cast<double>(fleet.questions() - before) / 60, 0.2);
            fleet.lossRate = 0;
            fleet.advance(5s);
        }
        {
            SCOPED_TRACE("one direction of a link");
            const std::size_t watcher = fleet.watchersOf("walu").at(0);
            std::size_t deaf = 0;
            while (deaf == watcher || fleet.balancers()[deaf].self.availabilityZone != "walu")
                ++deaf;
            fleet.isCut = [=](std::size_t from, std::size_t to) { return from == watcher && to == deaf; };
            const std::uint64_t before = fleet.questions();
            EXPECT_LT(oldestViewDuring(fleet, 30s), Duration(smallBound));
            EXPECT_LE(fleet.questions() - before, 3U);
            const std::uint64_t revision = fleet.write("servers/1", "draining");
            EXPECT_LT(timeUntilAllHave(fleet, revision, 10s), Duration(smallBound));
        }
    }

    // Guards against a roll-out in which each balancer asks the store since the zone's watcher sends no heartbeats.
    TEST(ReplicaFreshnessTest, WatchersOfAnEarlierVersionAreStoodInFor)
    {
        FreshnessSimulation fleet(1, largeBound);
        addMany(fleet, "nabua", 3);
        addMany(fleet, "walu", 60, true);
        addMany(fleet, "laucala", 3);
        addMany(fleet, "walu", 40);
        fleet.advance(40s);
        const bool isEarlier = fleet.balancers()[fleet.watchersOf("walu").at(0)].isEarlierVersion;
        RecordProperty("watcher_is_earlier", isEarlier ? "yes" : "no");
        if (!isEarlier) {
            for (const std::size_t index : fleet.watchersOf("walu"))
                fleet.kill(index);
            fleet.advance(20s);
        }
        const std::uint64_t before = fleet.questions();
        EXPECT_LT(oldestViewDuring(fleet, 60s), Duration(largeBound));
        EXPECT_LT(static_cast<double>(fleet.questions() - before) / 60, maxQuestionsPerSecond / 5);
        RecordProperty("questions", std::to_string(fleet.questions() - before));
    }

    // Guards against an outage of the store in which every balancer calls it, although the watchers live.
    TEST_F(SmallFleet, OnlyWatchersCallAStoreThatIsDown)
    {
        for (const auto state : { FreshnessSimulation::StoreState::Down, FreshnessSimulation::StoreState::Silent }) {
            SCOPED_TRACE(static_cast<int>(state));
            const std::uint64_t before = fleet.questions();
            fleet.store = state;
            fleet.advance(20s);
            EXPECT_EQ(fleet.questions(), before);
            for (const std::size_t index : alive(fleet))
                EXPECT_GE(fleet.ageOf(index), Duration(smallBound));
            fleet.store = FreshnessSimulation::StoreState::Up;
            fleet.advance(8s);
            EXPECT_LT(oldestView(fleet), Duration(smallBound));
            for (const auto& balancer : fleet.balancers())
                EXPECT_EQ(balancer.freshLogs, balancer.staleLogs);
        }
    }

    // Guards against three watchers of a zone of which each sends heartbeats at the full rate.
    TEST(ReplicaFreshnessTest, OneOfSeveralWatchersSendsHeartbeats)
    {
        constexpr auto observed = 30s;
        FreshnessSimulation fleet(1, smallBound);
        addMany(fleet, "walu", 8);
        fleet.advance(20s);
        ASSERT_EQ(fleet.watchersOf("walu").size(), 3U);
        std::vector<std::uint64_t> before;
        for (const auto& balancer : fleet.balancers())
            before.push_back(balancer.heartbeats);
        fleet.advance(observed);
        const auto intervals = static_cast<std::uint64_t>(observed / (Duration(smallBound) / 6));
        for (std::size_t i = 0; i < before.size(); ++i)
            EXPECT_LE(fleet.balancers()[i].heartbeats - before[i], intervals + 1) << i;
    }

    // Guards against a bound of 0 that changes anything.
    TEST(ReplicaFreshnessTest, ABoundOfZeroSwitchesItOff)
    {
        FreshnessSimulation fleet(1, 0s);
        addMany(fleet, "walu", 6);
        fleet.advance(20s);
        killWatchers(fleet, "walu");
        fleet.advance(10s);
        EXPECT_EQ(fleet.questions(), 0U);
        for (const auto& balancer : fleet.balancers()) {
            EXPECT_EQ(balancer.heartbeats, 0U);
            EXPECT_FALSE(balancer.freshness->nextTick());
            EXPECT_FALSE(balancer.freshness->age(fleet.now()));
        }
    }

}

}
