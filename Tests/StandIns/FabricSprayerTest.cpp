#include "StandIns/FabricSprayer.h"
#include "StandIns/FabricStandIn.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    constexpr Endpoint first { 0x7F000001, 1 };
    constexpr Endpoint second { 0x7F000001, 2 };

    TEST(FabricSprayerTest, PacketsFollowWeightsAndSeed)
    {
        FabricSprayer sprayer(1);
        FabricSprayer other(1);
        for (FabricSprayer* each : { &sprayer, &other })
            each->setTargets({ { first, 1, 0 }, { second, 3, 0 } });
        for (int i = 0; i < 40'000; ++i)
            ASSERT_EQ(sprayer.next(), other.next());
        EXPECT_NEAR(static_cast<double>(sprayer.targets()[0].packets), 10'000, 500);
        EXPECT_NEAR(static_cast<double>(sprayer.targets()[1].packets), 30'000, 500);
    }

    TEST(FabricSprayerTest, ARemovedBalancerGetsNoPackets)
    {
        FabricSprayer sprayer(1);
        EXPECT_FALSE(sprayer.next().isSet());
        EXPECT_EQ(sprayer.unroutedPackets(), 1U);

        sprayer.setTargets({ { first, 1, 0 }, { second, 1, 0 } });
        for (int i = 0; i < 100; ++i)
            EXPECT_TRUE(sprayer.next().isSet());
        const auto before = sprayer.targets()[0].packets;
        sprayer.setTargets({ { second, 1, 0 } });
        for (int i = 0; i < 100; ++i)
            EXPECT_EQ(sprayer.next(), second);
        EXPECT_EQ(sprayer.targets()[0].packets, before) << "its packet count is kept";
    }

    TEST(FabricSprayerTest, InvalidBalancerListsAreRejected)
    {
        const auto targets = parseFabricTargets(R"(["127.0.0.1:1", {"address": "127.0.0.1:2", "weight": 0.5}])");
        ASSERT_TRUE(targets);
        ASSERT_EQ(targets.value().size(), 2U);
        EXPECT_EQ(targets.value()[0].address, first);
        EXPECT_EQ(targets.value()[1].address, second);
        EXPECT_EQ(targets.value()[1].weight, 0.5);
        for (const char* text : { "", "[", "{}", "[1]", R"(["x"])", R"([{"address": "127.0.0.1:2", "weight": -1}])",
                 R"(["127.0.0.1:1", {"weight": 1}])" }) {
            SCOPED_TRACE(text);
            EXPECT_FALSE(parseFabricTargets(text));
        }
    }

}
}
