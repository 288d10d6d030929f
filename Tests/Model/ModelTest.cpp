#include "Model/ModelRun.h"
#include "Model/ModelServer.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    TEST(EventQueueTest, ActionsRunByTimeAndThenInInsertionOrder)
    {
        EventQueue events;
        std::string order;
        const TimePoint begin = events.now();
        events.after(20ms, [&] { order += "c"; });
        events.after(10ms, [&] {
            order += "a";
            events.after(10ms, [&] { order += "d"; });
        });
        events.after(10ms, [&] { order += "b"; });
        events.after(30ms, [&] { order += "never"; });
        events.runUntil(begin + 25ms);
        EXPECT_EQ(order, "abcd");
        EXPECT_EQ(events.now(), begin + 25ms);
    }

    TEST(ModelServerTest, WorkWaitsForASlotAndIsRejectedWhenTheQueueIsFull)
    {
        EventQueue events;
        RegisteredServer entry;
        entry.slots = 2;
        ModelServer server(events, entry, 1);
        std::vector<int> done;
        const auto submit
            = [&](int number) { return server.submit(10ms, [&done, number] { done.push_back(number); }); };
        EXPECT_TRUE(submit(1));
        EXPECT_TRUE(submit(2));
        EXPECT_TRUE(submit(3));
        EXPECT_FALSE(submit(4));
        EXPECT_EQ(server.load(), 3U);
        events.runUntil(events.now() + 10ms);
        EXPECT_EQ(done, (std::vector { 1, 2 }));
        events.runUntil(events.now() + 10ms);
        EXPECT_EQ(done, (std::vector { 1, 2, 3 }));
        {
            SCOPED_TRACE("a slow server takes longer, and a crashed one completes nothing");
            server.setSlowdown(3);
            submit(5);
            events.runUntil(events.now() + 29ms);
            EXPECT_EQ(done.size(), 3U);
            server.crash();
            events.runUntil(events.now() + 29ms);
            EXPECT_EQ(done.size(), 3U);
        }
    }

    // 4 forwarders and 8 servers of 2 slots, of which the load occupies 40%.
    std::string scenarioText(const std::string& fault)
    {
        return R"([run]
length_milliseconds = 8000
[fleet]
availability_zones = 2
forwarders_per_zone = 2
[service tryon]
servers_per_zone = 4
slots = 2
queue = 8
[requests overlay]
service = tryon
per_second = 200
work_milliseconds = 20
aim_milliseconds = 120
keeps_flows = true
[requests confirm]
service = tryon
per_second = 120
work_milliseconds = 20
aim_milliseconds = 150
idempotent = false
)" + fault;
    }

    ModelScenario scenario(const std::string& fault)
    {
        auto parsed = ModelScenario::parse("test.ini", scenarioText(fault));
        EXPECT_TRUE(parsed) << parsed.error().detail;
        return std::move(parsed).value();
    }

    MedianAndRange simulate(const ModelScenario& scenario, const char* policy, double (*value)(const ModelResult&))
    {
        constexpr unsigned seeds = 9;
        const auto rows = runModels(scenario, { findModelPolicy(policy) }, 1, seeds, 2, [](std::size_t) {});
        std::vector<double> values;
        for (const ModelResult& result : rows.front().results)
            values.push_back(value(result));
        return medianAndRangeOf(values);
    }

    double served(const ModelResult& result) { return result.all.servedShare(); }
    double worstWindows(const ModelResult& result) { return result.worstWindowsMean(); }
    double countOf(const ModelResult& result, ModelOutcome outcome)
    {
        return static_cast<double>(result.all.outcomes[static_cast<std::size_t>(outcome)]);
    }
    double failed(const ModelResult& result) { return countOf(result, ModelOutcome::Failed); }

    TEST(ModelScenarioTest, EveryProblemIsReportedWithItsLine)
    {
        const auto parsed = ModelScenario::parse("bad.ini",
            "[fleet]\navailability_zones = 0\n[requests a]\nservice = nobody\nwork = 3\n[fault f]\nkind = flood\n");
        ASSERT_FALSE(parsed);
        const std::string& detail = parsed.error().detail;
        for (const char* part : { "bad.ini:2", "bad.ini:4", "bad.ini:5", "bad.ini:7" })
            EXPECT_NE(detail.find(part), std::string::npos) << part << " in\n" << detail;
    }

    TEST(ModelRunTest, SameSeedGivesSameResult)
    {
        const ModelScenario faultless = scenario("");
        const ModelResult first = runModel(faultless, *findModelPolicy("today"), 7);
        const ModelResult second = runModel(faultless, *findModelPolicy("today"), 7);
        EXPECT_EQ(first.all.total(), second.all.total());
        EXPECT_EQ(first.all.earnedWorth, second.all.earnedWorth);
        EXPECT_EQ(first.serverLoad, second.serverLoad);
        EXPECT_NE(first.all.total(), runModel(faultless, *findModelPolicy("today"), 8).all.total());
        EXPECT_GT(first.all.total(), 2000U);
    }

    TEST(ModelRunTest, WithoutFaultsRequestsAreServedInTimeAndNoneFails)
    {
        const ModelScenario faultless = scenario("");
        EXPECT_GT(simulate(faultless, "today", served).min, 0.995);
        EXPECT_EQ(simulate(faultless, "today", failed).max, 0);
    }

    // Guards against admission control that serves no more requests in time when the load exceeds the capacity.
    TEST(ModelRunTest, AdmissionControlRaisesServedShareUnderOverload)
    {
        const ModelScenario overload = scenario(
            "[fault load]\nkind = overload\nat_milliseconds = 2000\nlength_milliseconds = 4000\nfactor = 3\n");
        const double without = simulate(overload, "no_admission", worstWindows).median;
        const double with = simulate(overload, "today", worstWindows).median;
        EXPECT_GT(with, without + 0.05);
        EXPECT_GT(simulate(overload, "today", served).median, simulate(overload, "no_admission", served).median + 0.04);
    }

    // Guards against admission control that refuses flows while only some servers are slow and others have free slots.
    TEST(ModelRunTest, SlowServersCauseNoRefusals)
    {
        const ModelScenario slow = scenario("[fault slow]\nkind = servers_slow\nat_milliseconds = "
                                            "2000\nlength_milliseconds = 4000\nshare = 0.25\nfactor = 5\n");
        EXPECT_NEAR(simulate(slow, "today", served).median, simulate(slow, "no_admission", served).median, 0.002);
    }

    // Guards against placing new flows at crashed servers until their entries expire.
    TEST(ModelRunTest, EjectionLimitsTheEffectOfCrashedServers)
    {
        const ModelScenario crashed
            = scenario("[fault dark]\nkind = servers_die\nat_milliseconds = 2000\nshare = 0.25\n");
        EXPECT_GT(simulate(crashed, "today", worstWindows).median,
            simulate(crashed, "no_leave_out", worstWindows).median + 0.005);
        EXPECT_GT(
            simulate(crashed, "today", worstWindows).median, simulate(crashed, "hash", worstWindows).median + 0.05);
    }

    // Guards against poor placement of the burst of requests after all forwarders restart without state.
    TEST(ModelRunTest, PlacementAfterRestartOfAllForwardersIsCloseToThatWithTrueLoads)
    {
        const ModelScenario powerLoss = scenario("[fault power]\nkind = power_of_all\nat_milliseconds = 3000\n");
        EXPECT_GT(simulate(powerLoss, "today", worstWindows).median,
            simulate(powerLoss, "all_knowing", worstWindows).median - 0.02);
        EXPECT_GT(simulate(powerLoss, "today", worstWindows).median, simulate(powerLoss, "hash", worstWindows).median);
    }

}

}
