#include "Core/Hash.h"
#include "Support/MembershipNetwork.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    class MembershipTest : public testing::Test {
    protected:
        MembershipTest()
        {
            network_.loss = 0.02;
            for (const char* zone : { "walu", "laucala", "nabua", "walu", "laucala", "nabua", "walu" })
                network_.add(zone);
        }

        // True if all running balancers except `subject` see it in this state; nullopt means that it is not in the
        // view.
        bool allSee(std::size_t subject, std::optional<MemberState> state)
        {
            for (std::size_t observer = 0; observer < network_.nodes().size(); ++observer) {
                if (observer == subject || !network_.isRunning(observer))
                    continue;
                const Member* const member = network_.viewedMember(observer, subject);
                if ((member ? std::optional(member->state) : std::nullopt) != state)
                    return false;
            }
            return true;
        }

        bool allAgree()
        {
            for (std::size_t subject = 0; subject < network_.nodes().size(); ++subject) {
                if (!allSee(subject, MemberState::Serving) || network_.view(subject).isolated)
                    return false;
            }
            return true;
        }

        MembershipNetwork network_ { 1 };
    };

    TEST_F(MembershipTest, FleetJoinsAndSharesConfigurationVersions)
    {
        EXPECT_TRUE(network_.view(0).isolated) << "no balancer has answered yet";
        ASSERT_TRUE(network_.runUntil([&] { return allAgree(); }, 3s));
        const auto allCaughtUp = [&] {
            const auto& nodes = network_.nodes();
            return std::all_of(
                nodes.begin(), nodes.end(), [](const auto& node) { return node.membership->hasCaughtUp(); });
        };
        EXPECT_TRUE(network_.runUntil(allCaughtUp, 3s));

        SCOPED_TRACE("all balancers see a new configuration version");
        network_.perform(3, network_.nodes()[3].membership->setConfigurationVersion(12, network_.now));
        const auto allKnowVersion = [&] {
            for (std::size_t observer = 0; observer < 7; ++observer) {
                if (network_.viewedMember(observer, 3)->configurationVersion != 12)
                    return false;
            }
            return true;
        };
        EXPECT_TRUE(network_.runUntil(allKnowVersion, 2s));

        SCOPED_TRACE("packet loss does not change the view");
        const std::uint64_t revision = network_.view(0).revision;
        network_.run(120s);
        EXPECT_TRUE(allAgree());
        EXPECT_EQ(network_.view(0).revision, revision);
    }

    // Guards against a caller whose ticks are too rare for the protocol, which would only look slow.
    TEST(MembershipTickTest, RoundsKeepTheirRateUpToTheLongestTickPeriod)
    {
        const MembershipSettings settings;
        const auto heartbeatsAt = [&](std::chrono::milliseconds tickPeriod) {
            Member self;
            self.id = balancerIdOf("walu-1");
            ManualClock clock;
            Membership membership(settings, self, 1, clock.now());
            membership.handle(VmListReceived { { { { 0x0A000002, 7000 }, false } } }, clock.now());
            const auto heartbeatsIn = [&](std::chrono::milliseconds time) {
                std::size_t heartbeats = 0;
                for (std::chrono::milliseconds elapsed { 0 }; elapsed < time; elapsed += tickPeriod) {
                    clock.advance(tickPeriod);
                    heartbeats += membership.tick(clock.now()).size();
                }
                return heartbeats;
            };
            // A newcomer sends more than one a round.
            heartbeatsIn(settings.newcomerContactPeriod);
            return heartbeatsIn(10s);
        };
        const std::size_t expected = heartbeatsAt(50ms);
        EXPECT_GE(expected, 19U);
        EXPECT_EQ(heartbeatsAt(settings.maxTickPeriod()), expected);
        EXPECT_LT(heartbeatsAt(settings.maxTickPeriod() * 3), expected);
        EXPECT_LT(settings.maxTickPeriod() * 3, settings.pauseThreshold) << "a late tick is no pause";
    }

    TEST_F(MembershipTest, LoneBalancerServesAfterStartupTimeout)
    {
        MembershipNetwork alone(2);
        alone.add("walu");
        alone.run(1s);
        EXPECT_TRUE(alone.view(0).isolated);
        alone.run(4s);
        EXPECT_FALSE(alone.view(0).isolated);
    }

    TEST_F(MembershipTest, StoppedBalancerIsLeavingAndThenRemoved)
    {
        ASSERT_TRUE(network_.runUntil([&] { return allAgree(); }, 3s));
        network_.perform(2, network_.nodes()[2].membership->leave(network_.now));
        EXPECT_TRUE(network_.runUntil([&] { return allSee(2, MemberState::Leaving); }, 1s));
        network_.run(20s);
        EXPECT_TRUE(allSee(2, MemberState::Leaving)) << "while it still runs";
        network_.kill(2);
        EXPECT_TRUE(network_.runUntil([&] { return allSee(2, std::nullopt); }, 5s));
    }

    TEST_F(MembershipTest, RestartReplacesTheOldIncarnation)
    {
        ASSERT_TRUE(network_.runUntil([&] { return allAgree(); }, 3s));
        const std::uint64_t first = network_.nodes()[4].self.incarnation;
        const auto allSeeIncarnationAbove = [&](std::uint64_t old) {
            for (std::size_t observer = 0; observer < 7; ++observer) {
                if (network_.viewedMember(observer, 4)->incarnation <= old
                    || network_.viewedMember(observer, 4)->state != MemberState::Serving)
                    return false;
            }
            return true;
        };
        SCOPED_TRACE("wall clock ahead");
        network_.restart(4, first + 5000);
        EXPECT_TRUE(network_.runUntil([&] { return allSeeIncarnationAbove(first); }, 1500ms));

        // Guards against a restarted balancer whose messages are dropped because its clock was set back.
        SCOPED_TRACE("wall clock set back");
        network_.restart(4, first - 5000);
        EXPECT_TRUE(network_.runUntil([&] { return allSeeIncarnationAbove(first + 5000); }, 3s));
        EXPECT_GT(network_.nodes()[4].membership->selfIncarnation(), first + 5000);
    }

    TEST_F(MembershipTest, SameSeedGivesTheSameTraffic)
    {
        std::vector<std::uint64_t> totals;
        for (int i = 0; i < 2; ++i) {
            MembershipNetwork network(77);
            network.loss = 0.1;
            for (int n = 0; n < 12; ++n)
                network.add(n % 2 == 0 ? "walu" : "nabua");
            network.run(30s);
            std::uint64_t total = 0;
            for (const auto& node : network.nodes())
                total = hashPair(total, node.bytesSent);
            totals.push_back(total);
        }
        EXPECT_EQ(totals[0], totals[1]);
    }

}
}
