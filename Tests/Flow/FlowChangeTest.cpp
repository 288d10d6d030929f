#include "Support/FlowFleet.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    // Flows through a fleet of seven balancers while things change by plan. Nothing may break.
    class FlowChangeTest : public testing::TestWithParam<std::uint64_t> {
    protected:
        static constexpr double newFlowsPerSecond = 200;

        FlowChangeTest()
            : fleet_(optionsWith(GetParam()))
            , configuration_(makeConfiguration({ { "tryon", 15 }, { "scanintake", 4 } }))
        {
            fleet_.apply(configuration_);
            EXPECT_TRUE(fleet_.runUntilSettled(10s)) << "a fleet that starts cold settles by itself";
            fleet_.run(2s, newFlowsPerSecond);
        }

        static FlowFleet::Options optionsWith(std::uint64_t seed)
        {
            FlowFleet::Options options;
            options.seed = seed;
            options.messageLoss = seed % 2 == 0 ? 0.1 : 0;
            return options;
        }

        void drain(const std::string& name, BackendServerState state = BackendServerState::Draining)
        {
            serverNamed(configuration_, name).state = state;
            fleet_.apply(configuration_);
        }

        void expectNothingBroke(const char* after)
        {
            SCOPED_TRACE(after);
            EXPECT_TRUE(fleet_.runUntilSettled(20s, newFlowsPerSecond)) << "the change ends";
            fleet_.run(6s, newFlowsPerSecond);
            EXPECT_EQ(fleet_.outcome().brokenFlows, 0);
            EXPECT_EQ(fleet_.outcome().wrongServicePackets, 0);
            EXPECT_EQ(fleet_.outcome().newFlowsToLeaving, 0);
        }

        FlowFleet fleet_;
        Configuration configuration_;
    };

    TEST_P(FlowChangeTest, survivesADrainAndAReturn)
    {
        drain("tryon-3");
        expectNothingBroke("after the drain");
        drain("tryon-3", BackendServerState::Active);
        expectNothingBroke("after the return");
    }

    TEST_P(FlowChangeTest, survivesTwoDrainsAtOnce)
    {
        drain("tryon-3");
        drain("tryon-4");
        expectNothingBroke("after both");
    }

    TEST_P(FlowChangeTest, survivesADrainThatIsTakenBackAtOnce)
    {
        drain("tryon-3");
        fleet_.run(300ms, newFlowsPerSecond);
        drain("tryon-3", BackendServerState::Active);
        expectNothingBroke("after both");
    }

    TEST_P(FlowChangeTest, survivesAWeightChangeAndANewServer)
    {
        serverNamed(configuration_, "tryon-1").weight = 300;
        fleet_.apply(configuration_);
        expectNothingBroke("after the weight change");
        Configuration larger = makeConfiguration({ { "tryon", 16 }, { "scanintake", 5 } });
        fleet_.apply(larger);
        expectNothingBroke("after the new servers");
    }

    TEST_P(FlowChangeTest, survivesARemovalWithoutADrain)
    {
        std::erase_if(
            configuration_.backendServers, [](const BackendServer& server) { return server.name == "tryon-5"; });
        fleet_.apply(configuration_);
        expectNothingBroke("after the removal");
    }

    TEST_P(FlowChangeTest, survivesABalancerThatJoinsDuringADrain)
    {
        drain("tryon-3");
        fleet_.addBalancer();
        expectNothingBroke("after both");
    }

    TEST_P(FlowChangeTest, survivesAPlannedStopOfABalancerDuringADrain)
    {
        drain("tryon-3");
        fleet_.beginLeave(2);
        for (int step = 0; step < 1000 && !fleet_.mayLeave(2); ++step)
            fleet_.run(10ms, newFlowsPerSecond);
        EXPECT_TRUE(fleet_.mayLeave(2));
        fleet_.announceLeaving(2);
        fleet_.run(1s, newFlowsPerSecond);
        drain("tryon-7");
        expectNothingBroke("after the drains");
        fleet_.kill(2);
        expectNothingBroke("after the balancer is gone");
    }

    INSTANTIATE_TEST_SUITE_P(Seeds, FlowChangeTest, testing::Range<std::uint64_t>(1, 11));

}
}
