#include "Support/FlowFleetSimulation.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    // Flows through seven simulated balancers during planned changes. No flow may break.
    class FlowChangeTest : public testing::TestWithParam<std::uint64_t> {
    protected:
        static constexpr double newFlowsPerSecond = 200;

        FlowChangeTest()
            : fleet_(optionsWith(GetParam()))
            , configuration_(makeConfiguration({ { "tryon", 15 }, { "scanintake", 4 } }))
        {
            fleet_.apply(configuration_);
            EXPECT_TRUE(fleet_.runUntilSettled(10s)) << "balancers did not settle after a cold start";
            fleet_.run(2s, newFlowsPerSecond);
        }

        static FlowFleetSimulation::Options optionsWith(std::uint64_t seed)
        {
            FlowFleetSimulation::Options options;
            options.seed = seed;
            options.messageLoss = seed % 2 == 0 ? 0.1 : 0;
            return options;
        }

        void setState(const std::string& name, BackendServerState state)
        {
            serverNamed(configuration_, name).state = state;
            fleet_.apply(configuration_);
        }

        void expectNoBrokenFlows(const char* step)
        {
            SCOPED_TRACE(step);
            EXPECT_TRUE(fleet_.runUntilSettled(20s, newFlowsPerSecond)) << "the change did not complete";
            fleet_.run(6s, newFlowsPerSecond);
            EXPECT_EQ(fleet_.outcome().brokenFlows, 0);
            EXPECT_EQ(fleet_.outcome().wrongServicePackets, 0);
            EXPECT_EQ(fleet_.outcome().newFlowsToDraining, 0);
        }

        FlowFleetSimulation fleet_;
        Configuration configuration_;
    };

    TEST_P(FlowChangeTest, DrainAndReactivation)
    {
        setState("tryon-3", BackendServerState::Draining);
        expectNoBrokenFlows("after the drain");
        setState("tryon-3", BackendServerState::Active);
        expectNoBrokenFlows("after the reactivation");
    }

    TEST_P(FlowChangeTest, ConcurrentDrains)
    {
        setState("tryon-3", BackendServerState::Draining);
        setState("tryon-4", BackendServerState::Draining);
        expectNoBrokenFlows("after both drains");
    }

    TEST_P(FlowChangeTest, DrainRevertedAtOnce)
    {
        setState("tryon-3", BackendServerState::Draining);
        fleet_.run(300ms, newFlowsPerSecond);
        setState("tryon-3", BackendServerState::Active);
        expectNoBrokenFlows("after the reverted drain");
    }

    TEST_P(FlowChangeTest, WeightChangeAndNewServers)
    {
        serverNamed(configuration_, "tryon-1").weight = 300;
        fleet_.apply(configuration_);
        expectNoBrokenFlows("after the weight change");
        Configuration larger = makeConfiguration({ { "tryon", 16 }, { "scanintake", 5 } });
        fleet_.apply(larger);
        expectNoBrokenFlows("after the new servers");
    }

    TEST_P(FlowChangeTest, RemovalWithoutDrain)
    {
        std::erase_if(
            configuration_.backendServers, [](const BackendServer& server) { return server.name == "tryon-5"; });
        fleet_.apply(configuration_);
        expectNoBrokenFlows("after the removal");
    }

    TEST_P(FlowChangeTest, BalancerJoinsDuringDrain)
    {
        setState("tryon-3", BackendServerState::Draining);
        fleet_.addBalancer();
        expectNoBrokenFlows("after the drain and the join");
    }

    TEST_P(FlowChangeTest, PlannedStopOfBalancerDuringDrain)
    {
        setState("tryon-3", BackendServerState::Draining);
        fleet_.beginLeave(2);
        for (int step = 0; step < 1000 && !fleet_.mayLeave(2); ++step)
            fleet_.run(10ms, newFlowsPerSecond);
        EXPECT_TRUE(fleet_.mayLeave(2));
        fleet_.announceLeaving(2);
        fleet_.run(1s, newFlowsPerSecond);
        setState("tryon-7", BackendServerState::Draining);
        expectNoBrokenFlows("after the drains");
        fleet_.kill(2);
        expectNoBrokenFlows("after the balancer has terminated");
    }

    INSTANTIATE_TEST_SUITE_P(Seeds, FlowChangeTest, testing::Range<std::uint64_t>(1, 11));

}
}
