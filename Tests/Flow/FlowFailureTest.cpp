#include "Support/FlowFleetSimulation.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    // Failures of balancers and connections during a table change. A few flows may break. No packet may reach another
    // service, draining servers must get no new flows, and the balancers must settle again.
    class FlowFailureTest : public testing::TestWithParam<std::uint64_t> {
    protected:
        FlowFailureTest()
            : fleet_(optionsWith(GetParam()))
            , configuration_(makeConfiguration({ { "tryon", 15 }, { "scanintake", 4 } }))
        {
            fleet_.apply(configuration_);
            EXPECT_TRUE(fleet_.runUntilSettled(10s));
            fleet_.run(3s, newFlowsPerSecond);
        }

        static FlowFleetSimulation::Options optionsWith(std::uint64_t seed)
        {
            FlowFleetSimulation::Options options;
            options.seed = seed;
            return options;
        }

        void drain(const std::string& name)
        {
            serverNamed(configuration_, name).state = BackendServerState::Draining;
            fleet_.apply(configuration_);
        }

        // Runs until a balancer has started a change as the arbiter, and returns its index.
        std::size_t awaitArbiter()
        {
            for (int step = 0; step < 1000; ++step) {
                for (std::size_t i = 0; i < fleet_.size(); ++i) {
                    if (fleet_.engine(i).counters().transitionsStarted > 0)
                        return i;
                }
                fleet_.run(10ms, newFlowsPerSecond);
            }
            ADD_FAILURE() << "no balancer started a change";
            return 0;
        }

        void expectRecovery()
        {
            EXPECT_TRUE(fleet_.runUntilSettled(30s, newFlowsPerSecond)) << "balancers did not settle";
            fleet_.run(8s, newFlowsPerSecond);
            EXPECT_EQ(fleet_.outcome().wrongServicePackets, 0);
            EXPECT_EQ(fleet_.outcome().newFlowsToDraining, 0);
        }

        static constexpr double newFlowsPerSecond = 200;
        FlowFleetSimulation fleet_;
        Configuration configuration_;
    };

    // Guards against a new arbiter that routes flows without the reports of the others, after the previous arbiter died
    // before or after its switch: it would not know the exceptions.
    TEST_P(FlowFailureTest, ArbiterDiesDuringChange)
    {
        drain("tryon-3");
        const std::size_t arbiter = awaitArbiter();
        fleet_.run(std::chrono::milliseconds(80 * GetParam()), newFlowsPerSecond);
        fleet_.kill(arbiter);
        expectRecovery();
        // Flows that only the dead arbiter had routed during the change may break.
        EXPECT_LE(fleet_.outcome().brokenFlows, 2);
    }

    // Guards against a paused balancer that resumes after the others have switched, and routes the packets in its
    // socket by its old table.
    TEST_P(FlowFailureTest, PausedBalancerResumesAfterChange)
    {
        fleet_.pause(GetParam() % fleet_.size(), 12s);
        drain("tryon-3");
        fleet_.run(20s, newFlowsPerSecond);
        expectRecovery();
        EXPECT_EQ(fleet_.outcome().brokenFlows, 0);
    }

    // Guards against a balancer that keeps routing new flows to a draining server, after a one-way partition has kept
    // the arbiter's messages from it and the arbiter has switched without its report.
    TEST_P(FlowFailureTest, OneWayPartitionDuringChange)
    {
        for (std::size_t from = 0; from < fleet_.size(); ++from)
            fleet_.cut(from, 6);
        drain("tryon-3");
        fleet_.run(5s, newFlowsPerSecond);
        fleet_.heal();
        expectRecovery();
    }

    INSTANTIATE_TEST_SUITE_P(Seeds, FlowFailureTest, testing::Range<std::uint64_t>(0, 12));

}
}
