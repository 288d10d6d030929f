#include "StoreSync/RelayTree.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>

namespace wisteriadock {

namespace {

    constexpr std::size_t fanout = 8;

    // A zone whose members pass a message on by their own views.
    struct RelayTreeTest : testing::Test {
        std::vector<Member> zone;
        std::mt19937_64 random { 1 };

        void addMembers(std::size_t count, std::uint32_t linkMegabits)
        {
            for (std::size_t i = 0; i < count; ++i) {
                Member member;
                member.id = BalancerId { static_cast<std::uint32_t>(random()) };
                member.linkMegabits = linkMegabits;
                zone.push_back(member);
            }
            std::ranges::sort(zone, {}, &Member::id);
        }

        // How often each member receives a message that the first member of the zone sends, and the most messages that
        // one of them sends. isKnown tells whether the first member knows the second.
        std::map<BalancerId, int> broadcast(
            std::size_t& mostSent, const std::function<bool(const Member&, const Member&)>& isKnown)
        {
            std::map<BalancerId, int> received;
            mostSent = 0;
            const BalancerId origin = zone.front().id;
            const std::function<void(const Member&, RelayRange)> passOn = [&](const Member& self, RelayRange range) {
                std::vector<const Member*> receivers;
                for (const Member& member : zone) {
                    if (member.id != self.id && member.id != origin && range.contains(member.id)
                        && isKnown(self, member))
                        receivers.push_back(&member);
                }
                const auto targets = relayTargets(receivers, self.id, fanout, random);
                mostSent = std::max(mostSent, targets.size());
                for (const RelayTarget& target : targets) {
                    ++received[target.member->id];
                    passOn(*target.member, target.range);
                }
            };
            passOn(zone.front(), { 0, UINT32_MAX });
            return received;
        }
    };

    // Guards against a watcher that sends as many messages as its zone has members.
    TEST_F(RelayTreeTest, EachMemberReceivesAMessageOnceAndSendsItToFew)
    {
        for (const std::size_t size : { 2U, 9U, 10U, 64U, 197U, 400U, 1900U }) {
            SCOPED_TRACE(size);
            zone.clear();
            addMembers(size, 20);
            std::size_t mostSent = 0;
            const auto received = broadcast(mostSent, [](const Member&, const Member&) { return true; });
            EXPECT_EQ(received.size(), size - 1);
            EXPECT_TRUE(std::ranges::all_of(received, [](const auto& row) { return row.second == 1; }));
            EXPECT_LE(mostSent, fanout + 1);
        }
    }

    // Guards against members that nobody sends the message to because a relay's view lacks others.
    TEST_F(RelayTreeTest, ViewsThatDifferLoseOnlyWhatARelayDoesNotKnow)
    {
        addMembers(200, 20);
        // One of ten members has just started and knows nobody.
        const auto isNew = [](const Member& member) { return member.id.value % 10 == 0; };
        std::size_t mostSent = 0;
        std::size_t reached = 0;
        constexpr std::size_t messages = 50;
        for (std::size_t i = 0; i < messages; ++i) {
            const auto received = broadcast(mostSent, [&](const Member& self, const Member&) { return !isNew(self); });
            reached += received.size();
            EXPECT_TRUE(std::ranges::all_of(received, [](const auto& row) { return row.second == 1; }));
        }
        EXPECT_GT(reached, messages * (zone.size() - 1) * 3 / 4);
    }

    TEST_F(RelayTreeTest, SlowLinksRelayLessThanFastOnes)
    {
        addMembers(100, 2);
        addMembers(100, 200);
        std::vector<const Member*> receivers;
        for (std::size_t i = 1; i < zone.size(); ++i)
            receivers.push_back(&zone[i]);
        std::map<std::uint32_t, std::size_t> chosen;
        for (int i = 0; i < 1000; ++i) {
            for (const RelayTarget& target : relayTargets(receivers, zone.front().id, fanout, random))
                ++chosen[target.member->linkMegabits];
        }
        EXPECT_GT(chosen[200], 2 * chosen[2]);
        EXPECT_GT(chosen[2], 1000U);
    }

}

}
