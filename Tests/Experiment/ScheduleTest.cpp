#include "Experiment/Schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    ScheduleOptions optionsFor(std::uint64_t seed, FaultMode mode)
    {
        ScheduleOptions options;
        options.seed = seed;
        options.mode = mode;
        options.length = 60s;
        options.serviceOfServer = { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 1, 1, 1 };
        return options;
    }

    std::set<StepKind> kindsOf(const std::vector<Step>& steps)
    {
        std::set<StepKind> kinds;
        for (const Step& step : steps)
            kinds.insert(step.kind);
        return kinds;
    }

    TEST(ScheduleTest, SameSeedGivesSameSteps)
    {
        EXPECT_EQ(makeSchedule(optionsFor(5, FaultMode::All)), makeSchedule(optionsFor(5, FaultMode::All)));
        EXPECT_NE(makeSchedule(optionsFor(5, FaultMode::All)), makeSchedule(optionsFor(6, FaultMode::All)));
        EXPECT_TRUE(makeSchedule(optionsFor(5, FaultMode::None)).empty());
    }

    TEST(ScheduleTest, StepsAreSortedAndAvoidStartAndEnd)
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            const auto steps = makeSchedule(optionsFor(seed, FaultMode::All));
            ASSERT_FALSE(steps.empty());
            EXPECT_TRUE(std::is_sorted(steps.begin(), steps.end(),
                [](const Step& first, const Step& second) { return first.at < second.at; }));
            EXPECT_GE(steps.front().at, 3s);
            EXPECT_LE(steps.back().at, 57s);
        }
    }

    TEST(ScheduleTest, ContainsEveryKindOfStep)
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            SCOPED_TRACE(seed);
            const auto planned = kindsOf(makeSchedule(optionsFor(seed, FaultMode::Planned)));
            EXPECT_EQ(planned.size(), 7u);
            EXPECT_TRUE(std::all_of(planned.begin(), planned.end(), isPlannedChange));
        }

        std::map<StepKind, int> seen;
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            for (const StepKind kind : kindsOf(makeSchedule(optionsFor(seed, FaultMode::All))))
                ++seen[kind];
        }
        EXPECT_EQ(seen.size(), 12u);
        for (const auto& [kind, runs] : seen)
            EXPECT_GE(runs, 40) << nameOf(kind);
    }

    TEST(ScheduleTest, KeepsMostServersAndBalancersActive)
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            SCOPED_TRACE(seed);
            const auto options = optionsFor(seed, FaultMode::All);
            std::set<std::size_t> drained;
            std::set<std::size_t> balancers = { 0, 1, 2, 3, 4, 5 };
            for (const Step& step : makeSchedule(options)) {
                switch (step.kind) {
                case StepKind::DrainServer:
                    EXPECT_TRUE(drained.insert(step.subject).second);
                    break;
                case StepKind::UndrainServer:
                    EXPECT_EQ(drained.erase(step.subject), 1u);
                    break;
                case StepKind::JoinBalancer:
                    EXPECT_TRUE(balancers.insert(step.subject).second);
                    break;
                case StepKind::StopBalancer:
                case StepKind::KillBalancer:
                    EXPECT_EQ(balancers.erase(step.subject), 1u);
                    break;
                case StepKind::FreezeBalancer:
                case StepKind::DelayVersions:
                    EXPECT_TRUE(balancers.contains(step.subject));
                    break;
                case StepKind::CutOneWay:
                    EXPECT_TRUE(balancers.contains(step.subject) && balancers.contains(step.other));
                    EXPECT_NE(step.subject, step.other);
                    break;
                default:
                    break;
                }
                const auto intakeDrained
                    = std::count_if(drained.begin(), drained.end(), [](std::size_t server) { return server >= 15; });
                EXPECT_LE(intakeDrained, 1);
                EXPECT_LE(drained.size(), 6u);
                EXPECT_GT(balancers.size(), 3u);
            }
        }
    }

    TEST(ScheduleTest, DrainsLastLongEnoughToBeChecked)
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            std::map<std::size_t, std::chrono::milliseconds> drainedAt;
            for (const Step& step : makeSchedule(optionsFor(seed, FaultMode::Planned))) {
                if (step.kind == StepKind::DrainServer)
                    drainedAt[step.subject] = step.at;
                if (step.kind == StepKind::UndrainServer) {
                    EXPECT_GE(step.at - drainedAt.at(step.subject), minDrainTime);
                }
            }
        }
    }

}
}
