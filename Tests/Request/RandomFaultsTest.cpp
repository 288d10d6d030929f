#include "FakeCallers.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>

namespace wisteriadock::testing {

namespace {

    void injectFault(FakeCluster& cluster)
    {
        EventSimulator& simulator = cluster.simulator;
        FakeBalancer& victim = *cluster.balancers[simulator.draw(cluster.balancers.size())];
        const std::string zone = cluster.zones[simulator.draw(cluster.zones.size())];
        const std::string other = cluster.zones[simulator.draw(cluster.zones.size())];
        const Duration time = simulator.between(milliseconds(50), milliseconds(3000));
        const auto cut = [&](const std::string& from, const std::string& to) {
            cluster.partitions.cut(from, to);
            simulator.after(time, [&cluster, from, to] { cluster.partitions.heal(from, to); });
        };
        switch (simulator.draw(8)) {
        case 0:
            return victim.kill(time);
        case 1:
        case 7:
            return victim.pause(time);
        case 2:
            return victim.leave();
        case 3:
            cut(zone, other);
            return cut(other, zone);
        case 4: // One direction only; within one zone when both are the same.
            return cut(zone, other);
        case 5:
            return cut(zone, "platform");
        default:
            cluster.platform.isOut = true;
            simulator.after(time, [&cluster] { cluster.platform.isOut = false; });
        }
    }

    class RandomFaults : public ::testing::TestWithParam<int> { };

    // Runs callers for 12 s with a random fault about every 300 ms, then no faults or new keys until all requests have
    // ended.
    FakeStatistics runSchedule(std::uint64_t seed, RetryRule rule)
    {
        FakeCluster cluster(seed, 2 + seed % 2);
        cluster.retryRule = rule;
        cluster.messageLossProbability = std::array { 0.0, 0.01, 0.1 }[seed / 2 % 3];
        cluster.termGossipProbability = seed % 5 == 0 ? 0.05 : 0.3;
        cluster.start();
        cluster.run(milliseconds(2000));
        FakeCallers callers(cluster);
        std::uint64_t faults = 0;
        for (int step = 0; step < 600; ++step) {
            if (cluster.simulator.chance(0.8))
                callers.begin(6);
            if (cluster.simulator.chance(0.06)) {
                injectFault(cluster);
                ++faults;
            }
            cluster.run(milliseconds(20));
        }
        cluster.run(std::chrono::seconds(30));
        FakeStatistics statistics = callers.statistics();
        statistics.faults = faults;
        return statistics;
    }

    // Number of seeds for each of the four parts, from the environment.
    int seedCount()
    {
        const char* wanted = std::getenv("WISTERIADOCK_REQUEST_SEEDS");
        return wanted ? std::atoi(wanted) : 50;
    }

    void print(const char* name, const FakeStatistics& statistics)
    {
        std::cout << name << ": keys " << statistics.keys << ", attempts " << statistics.attempts << ", answered "
                  << statistics.answered << ", not run " << statistics.refusedNotRun << ", unknown "
                  << statistics.refusedUnknown << ", unanswered " << statistics.unanswered << ", double runs "
                  << statistics.doubleRuns << ", false refusals " << statistics.falseRefusals << ", finally false "
                  << statistics.finalFalseRefusals << ", mixed " << statistics.mixedAnswers << ", incomplete "
                  << statistics.incompleteAnswers << ", faults " << statistics.faults << '\n';
    }

}

// Guards against double runs and false "not run" refusals under random crashes, pauses, stops, partitions and message
// loss, while callers repeat the same keys at other balancers.
TEST_P(RandomFaults, NoDoubleRunsAndNoFalseRefusals)
{
    FakeStatistics total;
    const int first = GetParam() * seedCount();
    for (int seed = first + 1; seed <= first + seedCount(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        const FakeStatistics statistics = runSchedule(seed, RetryRule::Safe);
        EXPECT_EQ(statistics.doubleRuns, 0u);
        EXPECT_EQ(statistics.falseRefusals, 0u);
        EXPECT_EQ(statistics.finalFalseRefusals, 0u);
        EXPECT_EQ(statistics.mixedAnswers, 0u);
        EXPECT_EQ(statistics.incompleteAnswers, 0u);
        EXPECT_GT(statistics.faults, 0u);
        EXPECT_GT(statistics.answered, 0u);
        total += statistics;
    }
    print("safe", total);
    EXPECT_GT(total.answered, total.keys / 2);
}

// Guards against errors for callers while balancers are stopped one after another.
TEST(PlannedStops, FailNoRequests)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        FakeCluster cluster(seed);
        cluster.backends.answerLossProbability = 0;
        cluster.start();
        cluster.run(milliseconds(2000));
        FakeCallers callers(cluster);
        callers.duplicateProbability = 0;
        for (int step = 0; step < 600; ++step) {
            if (cluster.simulator.chance(0.8))
                callers.begin(6);
            if (step % 100 == 50)
                cluster.balancer(step / 100).leave();
            cluster.run(milliseconds(20));
        }
        cluster.run(std::chrono::seconds(30));
        const FakeStatistics statistics = callers.statistics();
        EXPECT_GE(statistics.answered, statistics.keys);
        EXPECT_EQ(statistics.refusedNotRun + statistics.refusedUnknown + statistics.unanswered, 0u);
        EXPECT_EQ(statistics.doubleRuns, 0u);
    }
}

INSTANTIATE_TEST_SUITE_P(Parts, RandomFaults, ::testing::Range(0, 4));

// Verifies that the same faults cause double runs when work that may have run is sent again.
TEST(RandomFaultsBaseline, BlindRetryRunsWorkTwice)
{
    FakeStatistics total;
    for (int seed = 1; seed <= 20; ++seed)
        total += runSchedule(seed, RetryRule::Blind);
    print("blind", total);
    EXPECT_GT(total.doubleRuns, 0u);
}

}
