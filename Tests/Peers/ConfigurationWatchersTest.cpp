#include "Peers/ConfigurationWatchers.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

namespace wisteriadock {

namespace {

    // The counts that the forwarder uses.
    constexpr WatcherCounts forwarderCounts { 1, 3, 3 };

    MembersView viewOf(std::size_t perZone, MemberState state = MemberState::Serving,
        const std::vector<std::string>& zones = { "walu", "laucala" })
    {
        MembersView view;
        for (const std::string& zone : zones) {
            for (std::size_t i = 0; i < perZone; ++i) {
                Member member;
                member.name = fmt::format("{}-{}", zone, i);
                member.id = balancerIdOf(member.name);
                member.availabilityZone = zone;
                member.state = state;
                view.members.push_back(member);
            }
        }
        std::sort(view.members.begin(), view.members.end(),
            [](const Member& first, const Member& second) { return first.id < second.id; });
        return view;
    }

    std::vector<BalancerId> watchersOf(MembersView view, std::string_view zone, const WatcherCounts& counts)
    {
        std::vector<BalancerId> watchers;
        for (const Member& member : view.members) {
            view.self = member.id;
            if (member.availabilityZone == zone && isConfigurationWatcher(view, counts))
                watchers.push_back(member.id);
        }
        return watchers;
    }

    std::size_t countWatchers(const MembersView& view, std::string_view zone, const WatcherCounts& counts = {})
    {
        return watchersOf(view, zone, counts).size();
    }

    void detach(MembersView& view, BalancerId id)
    {
        std::ranges::find(view.members, id, &Member::id)->state = MemberState::Detached;
    }

    // Guards against a watcher with a slow link, which delays each change and fails its readiness checks meanwhile.
    TEST(ConfigurationWatchersTest, FastLinksWatchFirst)
    {
        MembersView view = viewOf(20);
        for (Member& member : view.members)
            member.linkMegabits = member.name == "walu-7" || member.name == "walu-12" ? 200 : 10;
        const auto watchers = watchersOf(view, "walu", forwarderCounts);
        ASSERT_EQ(watchers.size(), 2U);
        for (const BalancerId id : watchers)
            EXPECT_EQ(view.find(id)->linkMegabits, 200U);
        {
            SCOPED_TRACE("a member with a slow link replaces a detached watcher with a fast one");
            detach(view, watchers.front());
            EXPECT_EQ(watchersOf(view, "walu", forwarderCounts).size(), 3U);
        }
        {
            SCOPED_TRACE("links of one bandwidth class do not change the choice");
            for (Member& member : view.members)
                member.linkMegabits = member.name == "walu-7" ? 600 : 1000;
            MembersView alike = view;
            for (Member& member : alike.members)
                member.linkMegabits = 0;
            EXPECT_EQ(watchersOf(view, "walu", forwarderCounts), watchersOf(alike, "walu", forwarderCounts));
        }
    }

    TEST(ConfigurationWatchersTest, TwoWatchersPerZoneOfAnySize)
    {
        for (const std::size_t perZone : { 2U, 3U, 40U }) {
            SCOPED_TRACE(perZone);
            EXPECT_EQ(countWatchers(viewOf(perZone), "walu"), 2U);
            EXPECT_EQ(countWatchers(viewOf(perZone), "laucala"), 2U);
        }
    }

    TEST(ConfigurationWatchersTest, AllBalancersOfASmallFleetWatch)
    {
        EXPECT_TRUE(isConfigurationWatcher(MembersView {}));
        EXPECT_EQ(countWatchers(viewOf(1), "walu"), 1U);
        EXPECT_EQ(countWatchers(viewOf(1, MemberState::Joining), "walu"), 1U);
    }

    TEST(ConfigurationWatchersTest, ADeadWatcherIsReplaced)
    {
        MembersView view = viewOf(5);
        for (Member& member : view.members) {
            view.self = member.id;
            if (member.availabilityZone != "walu" || !isConfigurationWatcher(view))
                continue;
            member.state = MemberState::Dead;
            break;
        }
        std::erase_if(view.members, [](const Member& member) { return member.state == MemberState::Dead; });
        EXPECT_EQ(countWatchers(view, "walu"), 2U);
    }

    TEST(ConfigurationWatchersTest, MinimumTotalRaisesWatchersPerZone)
    {
        EXPECT_EQ(
            countWatchers(viewOf(5, MemberState::Serving, { "walu", "laucala", "nabua" }), "walu", forwarderCounts),
            1U);
        EXPECT_EQ(countWatchers(viewOf(5), "walu", forwarderCounts), 2U);
        EXPECT_EQ(countWatchers(viewOf(5, MemberState::Serving, { "walu" }), "walu", forwarderCounts), 3U);
    }

    // Guards against a zone without changes of its own while the store rejects the calls of its only watcher.
    TEST(ConfigurationWatchersTest, ADetachedWatcherIsReplacedAndKeepsTrying)
    {
        MembersView view = viewOf(5, MemberState::Serving, { "walu", "laucala", "nabua" });
        const std::vector<BalancerId> first = watchersOf(view, "walu", forwarderCounts);
        ASSERT_EQ(first.size(), 1U);
        detach(view, first[0]);
        const std::vector<BalancerId> second = watchersOf(view, "walu", forwarderCounts);
        EXPECT_EQ(second.size(), 2U);
        EXPECT_EQ(std::ranges::count(second, first[0]), 1);
        {
            SCOPED_TRACE("the store answers nobody: at most three members of a zone keep calling it");
            for (std::size_t i = 0; i < 5; ++i) {
                for (const BalancerId id : watchersOf(view, "walu", forwarderCounts))
                    detach(view, id);
            }
            EXPECT_EQ(countWatchers(view, "walu", forwarderCounts), 3U);
        }
    }

}

}
