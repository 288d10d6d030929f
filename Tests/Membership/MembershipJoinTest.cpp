#include "Support/MembershipNetwork.h"

#include <gtest/gtest.h>

#include <utility>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t availabilityZoneCount = 5;
    // The number of balancers whose addresses are in the settings of all.
    constexpr std::size_t seedCount = 3;
    // A new configuration version must be in force everywhere within 6 s. Half of that is reserved for its
    // distribution, which relies on the members that are known.
    constexpr auto joinTimeLimit = 3s;
    // Half of the 15 s that larger fleets have for the same.
    constexpr auto largeFleetJoinTimeLimit = 7500ms;
    // A tenth of a link of 20 Mbit/s.
    constexpr std::uint64_t maxJoiningBytesPerSecond = 250'000;

    class MembershipJoinTest : public testing::Test {
    protected:
        void startTogether(std::size_t count)
        {
            for (std::size_t i = 0; i < count; ++i)
                network_.addWithSeeds(fmt::format("zone{}", i % availabilityZoneCount), seedCount);
        }

        bool knowsAll(std::size_t observer) const
        {
            return network_.view(observer).members.size() == std::as_const(network_).nodes().size();
        }

        bool allKnowAll() const
        {
            for (std::size_t observer = 0; observer < std::as_const(network_).nodes().size(); ++observer) {
                if (!knowsAll(observer))
                    return false;
            }
            return true;
        }

        std::uint64_t maxBytesInSecond() const
        {
            std::uint64_t most = 0;
            for (const auto& node : std::as_const(network_).nodes())
                most = std::max(most, node.peakBytesPerSecond);
            return most;
        }

        MembershipNetwork network_ { 7 };
    };

    // Guards against slow joins when all balancers start at once: the few seeds limit their answers, and other sources
    // know only a few members yet.
    TEST_F(MembershipJoinTest, HundredsStartingTogetherJoinInTime)
    {
        startTogether(195);
        EXPECT_TRUE(network_.runUntil([&] { return allKnowAll(); }, joinTimeLimit));
        EXPECT_LT(maxBytesInSecond(), maxJoiningBytesPerSecond);
    }

    TEST_F(MembershipJoinTest, HundredsStartingTogetherJoinDespitePacketLoss)
    {
        network_.loss = 0.02;
        startTogether(195);
        EXPECT_TRUE(network_.runUntil([&] { return allKnowAll(); }, joinTimeLimit));
    }

    TEST_F(MembershipJoinTest, SixHundredStartingTogetherJoinInTime)
    {
        startTogether(600);
        EXPECT_TRUE(network_.runUntil([&] { return allKnowAll(); }, largeFleetJoinTimeLimit));
        EXPECT_LT(maxBytesInSecond(), maxJoiningBytesPerSecond);
    }

    TEST_F(MembershipJoinTest, NewBalancerJoinsLargeFleetInTime)
    {
        startTogether(195);
        network_.run(30s);
        const std::size_t newcomer = network_.addWithSeeds("zone1", seedCount);
        EXPECT_TRUE(network_.runUntil([&] { return knowsAll(newcomer); }, joinTimeLimit));
    }

}
}
