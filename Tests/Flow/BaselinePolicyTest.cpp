#include "Support/FlowFleetSimulation.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    // Guards against a simulation in which a drain breaks no flows under any policy, so that tests of the default
    // policy would pass without protection.
    TEST(BaselinePolicyTest, BaselinePoliciesBreakFlowsOnDrain)
    {
        for (const FlowPolicy policy : { FlowPolicy::Modulo, FlowPolicy::ConsistentHash, FlowPolicy::BoundedLoads }) {
            SCOPED_TRACE(nameOf(policy));
            FlowFleetSimulation::Options options;
            options.settings.policy = policy;
            FlowFleetSimulation fleet(options);
            Configuration configuration = makeConfiguration({ { "tryon", 15 }, { "scanintake", 4 } });
            fleet.apply(configuration);
            fleet.run(4s, 200);
            serverNamed(configuration, "tryon-3").state = BackendServerState::Draining;
            fleet.apply(configuration);
            fleet.run(4s, 200);
            EXPECT_GT(fleet.outcome().flows, 500);
            EXPECT_GT(fleet.outcome().brokenFlows, 0);
            EXPECT_EQ(fleet.outcome().wrongServicePackets, 0);
        }
    }

}
}
