#include "Experiment/ConfigurationSchedule.h"

#include <gtest/gtest.h>

#include <set>

namespace wisteriadock {
namespace {

    TEST(ConfigurationScheduleTest, SameSeedGivesSameSteps)
    {
        ConfigurationSchedule one(7, 3);
        ConfigurationSchedule same(7, 3);
        ConfigurationSchedule other(8, 3);
        bool differs = false;
        for (int i = 0; i < 20; ++i) {
            const ConfigurationStep step = one.next();
            EXPECT_EQ(step, same.next());
            differs = differs || !(step == other.next());
        }
        EXPECT_TRUE(differs);
    }

    TEST(ConfigurationScheduleTest, StartsWithLostAnswersAndHasEveryFaultInEachRound)
    {
        constexpr std::size_t kinds = 7;
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            SCOPED_TRACE(seed);
            ConfigurationSchedule schedule(seed, 3);
            EXPECT_EQ(schedule.next().fault, ConfigurationFault::LoseAnswers);
            for (int round = 0; round < 3; ++round) {
                std::set<ConfigurationFault> seen;
                for (std::size_t i = 0; i < kinds; ++i) {
                    const ConfigurationStep step = schedule.next();
                    seen.insert(step.fault);
                    EXPECT_LT(step.zone, 3u);
                    EXPECT_TRUE(step.races || step.fault != ConfigurationFault::Race);
                    EXPECT_TRUE(step.restarts || step.fault != ConfigurationFault::RestartBalancer);
                }
                EXPECT_EQ(seen.size(), kinds);
            }
        }
    }

}
}
