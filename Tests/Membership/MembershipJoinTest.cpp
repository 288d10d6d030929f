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
    constexpr std::uint32_t fastLink = 200;
    // Half of the 15 s that larger fleets have for the same.
    constexpr auto largeFleetJoinTimeLimit = 7500ms;
    // A tenth of a link of 20 Mbit/s.
    constexpr std::uint64_t maxJoiningBytesPerSecond = 250'000;
    // Callers give up opening a flow 1.4 s after a power failure; until then a balancer must know whom to fetch from.
    constexpr auto contactTimeLimit = 1s;

    class MembershipJoinTest : public testing::Test {
    protected:
        void startTogether(std::size_t count)
        {
            for (std::size_t i = 0; i < count; ++i)
                network_.addWithSeeds(fmt::format("zone{}", i % availabilityZoneCount), seedCount);
        }

        // Ten balancers of each zone, among them the seeds, have fast links.
        void startTogetherWithFastLinks(std::size_t count)
        {
            constexpr std::size_t fastBalancers = 10 * availabilityZoneCount;
            network_.linkMegabits = fastLink;
            startTogether(fastBalancers);
            network_.linkMegabits = 20;
            startTogether(count - fastBalancers);
        }

        // How many balancers know no member of their availability zone with a fast link.
        std::size_t countWithoutFastPeer() const
        {
            std::size_t without = 0;
            for (std::size_t i = 0; i < std::as_const(network_).nodes().size(); ++i) {
                const MembersView& view = network_.view(i);
                const Member& self = *view.findSelf();
                without += std::ranges::none_of(view.members, [&](const Member& member) {
                    return member.linkMegabits == fastLink && member.availabilityZone == self.availabilityZone;
                });
            }
            return without;
        }

        std::size_t countIsolated() const
        {
            std::size_t isolated = 0;
            for (std::size_t i = 0; i < std::as_const(network_).nodes().size(); ++i)
                isolated += network_.view(i).isolated;
            return isolated;
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

    // Guards against a start of a large fleet in which most balancers wait for seconds until a seed answers them or
    // until they know a fast one of their zone, and meanwhile read all of the store over its one link.
    TEST_F(MembershipJoinTest, ThousandStartingTogetherAreInContactAtOnce)
    {
        startTogetherWithFastLinks(985);
        network_.run(contactTimeLimit);
        EXPECT_EQ(countIsolated(), 0U);
        EXPECT_LT(countWithoutFastPeer(), 10U);
        EXPECT_TRUE(network_.runUntil([&] { return allKnowAll(); }, largeFleetJoinTimeLimit));
    }

    // Guards against balancers that wait for a whole round because the seeds started a moment after them.
    TEST_F(MembershipJoinTest, ThousandStartingJustBeforeTheSeedsAreInContactSoon)
    {
        constexpr auto seedsStartLater = 100ms;
        // Two ticks of the network; a round takes five.
        constexpr auto contactWithin = 200ms;
        // What the rest reads instead takes a tenth of a second of the store's link.
        constexpr std::size_t maxIsolated = 98;
        startTogetherWithFastLinks(985);
        network_.loss = 1;
        network_.run(seedsStartLater);
        network_.loss = 0;
        network_.run(contactWithin);
        EXPECT_LT(countIsolated(), maxIsolated);
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
