#include "Flow/ServerWeights.h"
#include "Support/FlowFleetSimulation.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    class ServerWeightsTest : public testing::Test {
    protected:
        ServerWeightsTest()
            : configuration_(makeConfiguration({ { "tryon", 4 } }))
        {
            configuration_.services.front().evenness = 1;
            configure();
        }

        void configure()
        {
            std::vector<const BackendServer*> servers;
            for (const BackendServer& server : configuration_.backendServers)
                servers.push_back(&server);
            weights_.configure(configuration_.services.front(), servers, clock_.now());
        }

        BackendServerId idOf(std::size_t index) const { return configuration_.backendServers[index].id; }

        WeightFactors computeFactors(const ServerLoads& loads = {})
        {
            return weights_.computeFactors(currentFactors_, loads, clock_.now());
        }

        std::uint16_t factorOf(std::size_t index, const ServerLoads& loads = {})
        {
            const WeightFactors factors = computeFactors(loads);
            const auto factor = factors.find(idOf(index));
            return factor == factors.end() ? fullFactor : factor->second;
        }

        ManualClock clock_;
        Configuration configuration_;
        ServerWeights weights_;
        WeightFactors currentFactors_;
    };

    TEST_F(ServerWeightsTest, FullWeightsByDefault) { EXPECT_TRUE(computeFactors().empty()); }

    TEST_F(ServerWeightsTest, SlowStartOfNewServer)
    {
        BackendServer added = configuration_.backendServers.front();
        added.name = "tryon-new";
        added.id = backendServerIdOf(added.name);
        added.slowStartSeconds = 20;
        configuration_.backendServers.push_back(added);
        configure();
        EXPECT_EQ(factorOf(4), 250);
        clock_.advance(10s);
        EXPECT_EQ(factorOf(4), 750);
        clock_.advance(10s);
        EXPECT_EQ(factorOf(4), fullFactor);
    }

    TEST_F(ServerWeightsTest, UnhealthyServerGetsNoNewFlows)
    {
        weights_.setHealth(idOf(1), false, clock_.now());
        EXPECT_EQ(factorOf(1), 0);
        weights_.setHealth(idOf(1), true, clock_.now());
        EXPECT_EQ(factorOf(1), fullFactor);
    }

    // Guards against an overload of the remaining servers when the health checks of most servers fail.
    TEST_F(ServerWeightsTest, NoEjectionBelowPanicThreshold)
    {
        weights_.setHealth(idOf(0), false, clock_.now());
        weights_.setHealth(idOf(1), false, clock_.now());
        EXPECT_EQ(factorOf(0), 0) << "half of the servers healthy is not below the threshold";
        weights_.setHealth(idOf(2), false, clock_.now());
        EXPECT_TRUE(computeFactors().empty());
    }

    TEST_F(ServerWeightsTest, LessLoadedServerGetsHigherFactor)
    {
        const ServerLoads loads { { idOf(0), 50 }, { idOf(1), 100 }, { idOf(2), 100 }, { idOf(3), 150 } };
        EXPECT_GT(factorOf(0, loads), fullFactor);
        EXPECT_EQ(factorOf(1, loads), fullFactor);
        EXPECT_LT(factorOf(3, loads), fullFactor);
    }

    TEST_F(ServerWeightsTest, SmallLoadsAndDifferencesAreIgnored)
    {
        EXPECT_TRUE(computeFactors({ { idOf(0), 1 }, { idOf(1), 9 } }).empty());
        EXPECT_TRUE(computeFactors({ { idOf(0), 95 }, { idOf(1), 105 }, { idOf(2), 100 }, { idOf(3), 100 } }).empty());
    }

    TEST_F(ServerWeightsTest, NoLoadCorrectionAtEvennessZero)
    {
        configuration_.services.front().evenness = 0;
        configure();
        EXPECT_TRUE(computeFactors({ { idOf(0), 10 }, { idOf(1), 300 }, { idOf(2), 10 }, { idOf(3), 10 } }).empty());
    }

    // A server that becomes active again gets more new flows at evenness 1 than at 0, and no flow breaks at either.
    TEST(EvennessTest, HigherEvennessFillsReactivatedServerSooner)
    {
        const auto newFlowsOfReactivated = [](double evenness) {
            FlowFleetSimulation fleet({});
            Configuration configuration = makeConfiguration({ { "tryon", 6 } });
            configuration.services.front().evenness = evenness;
            BackendServer& server = serverNamed(configuration, "tryon-3");
            server.state = BackendServerState::Draining;
            fleet.apply(configuration);
            EXPECT_TRUE(fleet.runUntilSettled(10s));
            fleet.run(5s, 200);
            server.state = BackendServerState::Active;
            fleet.apply(configuration);
            fleet.run(12s, 200);
            EXPECT_EQ(fleet.outcome().brokenFlows, 0);
            return fleet.newFlowsByServer()[server.id];
        };
        EXPECT_GT(newFlowsOfReactivated(1), newFlowsOfReactivated(0));
    }

}
}
