#include "Support/MembershipNetwork.h"

#include <gtest/gtest.h>

#include <set>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    class MembershipFaultTest : public testing::Test {
    protected:
        void startFleet(std::size_t count, std::size_t zones)
        {
            for (std::size_t i = 0; i < count; ++i)
                network_.add("zone" + std::to_string(i % zones));
            ASSERT_TRUE(network_.runUntil([&] { return allSeeExactlyDead({}); }, 60s));
        }

        // True if no running balancer outside the set is isolated, and each sees exactly the members of the set as
        // dead.
        bool allSeeExactlyDead(const std::set<std::size_t>& dead)
        {
            for (std::size_t observer = 0; observer < network_.nodes().size(); ++observer) {
                if (network_.isRunning(observer) && !dead.contains(observer)
                    && (network_.view(observer).isolated || !seesExactlyDead(observer, dead)))
                    return false;
            }
            return true;
        }

        bool seesExactlyDead(std::size_t observer, const std::set<std::size_t>& dead)
        {
            for (std::size_t subject = 0; subject < network_.nodes().size(); ++subject) {
                const Member* const member = network_.viewedMember(observer, subject);
                if (!member || (member->state == MemberState::Dead) != dead.contains(subject))
                    return false;
            }
            return true;
        }

        std::size_t countDead(std::size_t observer)
        {
            const auto& members = network_.view(observer).members;
            return std::count_if(
                members.begin(), members.end(), [](const Member& member) { return member.state == MemberState::Dead; });
        }

        MembershipNetwork network_ { 5 };
    };

    TEST_F(MembershipFaultTest, KilledBalancerIsDeclaredDeadEverywhere)
    {
        startFleet(7, 3);
        network_.loss = 0.05;
        network_.kill(3);
        EXPECT_TRUE(network_.runUntil([&] { return allSeeExactlyDead({ 3 }); }, 4s));
        network_.run(60s);
        EXPECT_TRUE(allSeeExactlyDead({ 3 }));
    }

    // Guards against a resumed balancer that acts on its stale view, or declares all others dead because the time of
    // the pause counts as unanswered.
    TEST_F(MembershipFaultTest, PausedBalancerIsIsolatedUntilAnswered)
    {
        startFleet(7, 3);
        network_.pause(0);
        ASSERT_TRUE(network_.runUntil([&] { return allSeeExactlyDead({ 0 }); }, 5s));
        network_.run(25s);

        SCOPED_TRACE("resume with datagrams from before and during the pause");
        ASSERT_FALSE(network_.nodes()[0].inbox.empty());
        network_.resume(0);
        EXPECT_TRUE(network_.view(0).isolated);
        EXPECT_EQ(countDead(0), 0U);

        SCOPED_TRACE("receive new answers");
        EXPECT_TRUE(network_.runUntil([&] { return !network_.view(0).isolated; }, 500ms));
        EXPECT_TRUE(network_.runUntil([&] { return allSeeExactlyDead({}); }, 3s));
    }

    // Guards against declaring members dead for the time of a pause if they became unreachable during it.
    TEST_F(MembershipFaultTest, ResumedBalancerWithoutPeersServesAfterTimeout)
    {
        startFleet(7, 3);
        network_.pause(0);
        network_.run(30s);
        network_.isCut = [](std::size_t from, std::size_t to) { return from == 0 || to == 0; };
        network_.resume(0);
        network_.run(1s);
        EXPECT_TRUE(network_.view(0).isolated);
        EXPECT_EQ(countDead(0), 0U);
        EXPECT_TRUE(network_.runUntil([&] { return !network_.view(0).isolated; }, 5s));
        EXPECT_EQ(countDead(0), 6U);
        network_.isCut = nullptr;
        EXPECT_TRUE(network_.runUntil([&] { return allSeeExactlyDead({}); }, 5s));
    }

    // Guards against a member that alternates between dead and alive while packets are lost in one direction only.
    TEST_F(MembershipFaultTest, OneWayLossKeepsBothMembersAlive)
    {
        SCOPED_TRACE("both stay alive through indirect probes");
        startFleet(7, 3);
        network_.isCut = [](std::size_t from, std::size_t to) { return from == 0 && to == 1; };
        const std::uint64_t revision = network_.view(4).revision;
        network_.run(120s);
        EXPECT_TRUE(allSeeExactlyDead({}));
        EXPECT_EQ(network_.view(4).revision, revision);
    }

    TEST_F(MembershipFaultTest, OneWayLossBetweenTwoIsAPartition)
    {
        startFleet(2, 2);
        network_.isCut = [](std::size_t from, std::size_t to) { return from == 0 && to == 1; };
        network_.run(15s);
        const std::uint64_t revisions[] = { network_.view(0).revision, network_.view(1).revision };
        network_.run(60s);
        EXPECT_TRUE(seesExactlyDead(0, { 1 }) && seesExactlyDead(1, { 0 }));
        EXPECT_EQ(network_.view(0).revision, revisions[0]);
        EXPECT_EQ(network_.view(1).revision, revisions[1]);
        network_.isCut = nullptr;
        EXPECT_TRUE(network_.runUntil([&] { return allSeeExactlyDead({}); }, 5s));
    }

    TEST_F(MembershipFaultTest, PartitionedAvailabilityZoneServesAndRejoins)
    {
        startFleet(7, 3);
        const auto isInside = [](std::size_t index) { return index % 3 == 0; };
        network_.isCut = [&](std::size_t from, std::size_t to) { return isInside(from) != isInside(to); };
        const std::set<std::size_t> inside { 0, 3, 6 };
        const std::set<std::size_t> outside { 1, 2, 4, 5 };
        const auto hasSplit = [&] {
            for (std::size_t observer = 0; observer < 7; ++observer) {
                if (network_.view(observer).isolated
                    || !seesExactlyDead(observer, inside.contains(observer) ? outside : inside))
                    return false;
            }
            return true;
        };
        EXPECT_TRUE(network_.runUntil(hasSplit, 5s));
        network_.run(600s);
        EXPECT_TRUE(hasSplit());
        network_.isCut = nullptr;
        EXPECT_TRUE(network_.runUntil([&] { return allSeeExactlyDead({}); }, 5s));
    }

    // Guards against a traffic spike among the remaining balancers when many fail at the same time.
    TEST_F(MembershipFaultTest, LostRackCausesNoTrafficSpike)
    {
        startFleet(200, 4);
        network_.run(30s);
        for (auto& node : network_.nodes())
            node.peakBytesPerSecond = 0;
        std::set<std::size_t> rack;
        for (std::size_t i = 40; i < 80; ++i) {
            network_.kill(i);
            rack.insert(i);
        }
        EXPECT_TRUE(network_.runUntil([&] { return allSeeExactlyDead(rack); }, 60s));
        network_.run(20s);
        EXPECT_TRUE(allSeeExactlyDead(rack));
        std::uint64_t most = 0;
        for (const auto& node : network_.nodes())
            most = std::max(most, node.peakBytesPerSecond);
        EXPECT_LT(most, 6000U) << "bytes that one balancer sent in one second, headers included";
        RecordProperty("mostBytesInSecond", std::to_string(most));
    }

    TEST_F(MembershipFaultTest, MalformedMessagesCauseBoundedTraffic)
    {
        startFleet(7, 3);
        std::mt19937_64 random(9);
        std::size_t answers = 0;
        Membership& target = *network_.nodes()[0].membership;
        for (int i = 0; i < 20000; ++i) {
            const auto kind = static_cast<PeerMessageKind>(1 + random() % 8);
            PeerEnvelope envelope { network_.nodes()[random() % 7].self.id, random(), kind, {} };
            if (random() % 2 == 0)
                envelope.senderIncarnation = network_.nodes()[1].self.incarnation;
            envelope.payload.resize(random() % 100);
            for (auto& byte : envelope.payload)
                byte = static_cast<std::uint8_t>(random());
            // A MessagePack array header of a plausible size reaches further into the decoder.
            if (!envelope.payload.empty())
                envelope.payload[0] = static_cast<std::uint8_t>(0x90 + random() % 10);
            answers += target.handle(PeerMessageReceived { { 1, 2 }, envelope }, network_.now).size();
        }
        EXPECT_LE(answers, 60U) << "the limits of one interval";
        EXPECT_TRUE(network_.runUntil([&] { return allSeeExactlyDead({}); }, 5s));
    }

}
}
