#include "Support/MembershipNetwork.h"

#include <gtest/gtest.h>

#include <utility>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t availabilityZoneCount = 5;
    // What all balancers know of, and the addresses that are in everybody's settings.
    constexpr std::size_t seedCount = 3;
    // At a fleet of hundreds, a configuration must be in force everywhere 6 s after it was written, and news travels
    // by the members that its bearers know. Half of that is left for the news itself.
    constexpr auto joinTimeLimit = 3s;
    // Larger fleets have 15 s.
    constexpr auto largeFleetJoinTimeLimit = 7500ms;
    // A tenth of a link of 20 Mbit/s, the thinnest that is common at that size.
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
                most = std::max(most, node.mostBytesInSecond);
            return most;
        }

        MembershipNetwork network_ { 7 };
    };

    // Symptom: after all of 195 balancers had lost power, half of them knew a quarter of the others after 6.6 s and
    // nine tenths after 12.6 s; hundreds watched the platform's service at once, since none of their zone was known to
    // them. Sequence: all processes start at once with the same three addresses; those three answer and hand out the
    // view at a pace meant for single newcomers; whoever asks a newcomer for the view gets the few members that it
    // knows, takes it for the whole and waits 5 s before it asks again. Cause: the pace of joining was set for one
    // newcomer among many, and every member counted as an equally good source.
    TEST_F(MembershipJoinTest, hundredsThatStartTogetherKnowEachOtherSoon)
    {
        startTogether(195);
        EXPECT_TRUE(network_.runUntil([&] { return allKnowAll(); }, joinTimeLimit));
        EXPECT_LT(maxBytesInSecond(), maxJoiningBytesPerSecond);
    }

    TEST_F(MembershipJoinTest, theSameWithLostPackets)
    {
        network_.loss = 0.02;
        startTogether(195);
        EXPECT_TRUE(network_.runUntil([&] { return allKnowAll(); }, joinTimeLimit));
    }

    TEST_F(MembershipJoinTest, sixHundredThatStartTogetherKnowEachOtherInTime)
    {
        startTogether(600);
        EXPECT_TRUE(network_.runUntil([&] { return allKnowAll(); }, largeFleetJoinTimeLimit));
        EXPECT_LT(maxBytesInSecond(), maxJoiningBytesPerSecond);
    }

    TEST_F(MembershipJoinTest, oneThatStartsAmongHundredsKnowsThemSoon)
    {
        startTogether(195);
        network_.run(30s);
        const std::size_t newcomer = network_.addWithSeeds("zone1", seedCount);
        EXPECT_TRUE(network_.runUntil([&] { return knowsAll(newcomer); }, joinTimeLimit));
    }

}
}
