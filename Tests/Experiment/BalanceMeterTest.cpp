#include "Experiment/BalanceMeter.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    TEST(BalanceMeterTest, ComputesMaxOverMeanOfLiveFlowsPerService)
    {
        BalanceMeter meter;
        EXPECT_EQ(meter.liveFlowsMaxOverMean(), 0);
        meter.sample({ { "a", { "tryon", 100, 30, 0 } }, { "b", { "tryon", 100, 10, 0 } } });
        EXPECT_DOUBLE_EQ(meter.liveFlowsMaxOverMean(), 1.5);

        SCOPED_TRACE("two services, weighted by their number of flows (three to one)");
        BalanceMeter both;
        both.sample({
            { "a", { "tryon", 100, 30, 0 } },
            { "b", { "tryon", 100, 30, 0 } },
            { "c", { "scanintake", 100, 20, 0 } },
            { "d", { "scanintake", 100, 0, 0 } },
        });
        EXPECT_DOUBLE_EQ(both.liveFlowsMaxOverMean(), (60 * 1.0 + 20 * 2.0) / 80);
    }

    TEST(BalanceMeterTest, DividesLoadByWeight)
    {
        BalanceMeter meter;
        meter.sample({ { "a", { "tryon", 200, 40, 0 } }, { "b", { "tryon", 100, 20, 0 } } });
        EXPECT_DOUBLE_EQ(meter.liveFlowsMaxOverMean(), 1);
    }

    TEST(BalanceMeterTest, ExcludesServersUntilTheirWeightIsStable)
    {
        BalanceMeter meter;
        const ServerLoad steady { "tryon", 100, 20, 0 };
        meter.sample({ { "a", steady }, { "b", steady } });
        SCOPED_TRACE("the weight of b is halved while it still has its earlier flows, and c is added");
        const ServerLoad lighter { "tryon", 50, 20, 0 };
        const ServerLoad added { "tryon", 100, 0, 0 };
        for (std::size_t i = 0; i < BalanceMeter::settlingSamples; ++i)
            meter.sample({ { "a", steady }, { "b", lighter }, { "c", added } });
        EXPECT_DOUBLE_EQ(meter.liveFlowsMaxOverMean(), 1);
        meter.sample({ { "a", steady }, { "b", lighter }, { "c", added } });
        EXPECT_GT(meter.liveFlowsMaxOverMean(), 1);
    }

    TEST(BalanceMeterTest, CountsNewFlowsOfServersActiveThroughout)
    {
        BalanceMeter meter;
        for (std::uint64_t second = 0; second <= BalanceMeter::windowSamples; ++second) {
            std::map<std::string, ServerLoad> servers {
                { "a", { "tryon", 100, 1, 100 + 30 * second } },
                { "b", { "tryon", 100, 1, 50 + 10 * second } },
            };
            if (second < 3)
                servers["drained"] = { "tryon", 100, 1, 1000 * second };
            meter.sample(servers);
        }
        EXPECT_DOUBLE_EQ(meter.newFlowsMaxOverMean(), 1.5);
    }

}
}
