#include "Peers/ConfigurationWatchers.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

namespace wisteriadock {

namespace {

    // What the forwarders use: one in each zone, three in all, and up to three that are replaced.
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

    // Symptom: the readiness checks of three balancers failed for seconds at a change of the configuration, and the
    // last of each zone had it 5 s late. Sequence: the zone's watcher reads the store's answer, and its zone the news,
    // over a link of 10 Mbit/s, while two balancers with 200 Mbit/s stand beside. Cause: the choice did not look at the
    // links.
    TEST(ConfigurationWatchersTest, wideLinksWatchFirst)
    {
        MembersView view = viewOf(20);
        for (Member& member : view.members)
            member.linkMegabits = member.name == "walu-7" || member.name == "walu-12" ? 200 : 10;
        const auto watchers = watchersOf(view, "walu", forwarderCounts);
        ASSERT_EQ(watchers.size(), 2U);
        for (const BalancerId id : watchers)
            EXPECT_EQ(view.find(id)->linkMegabits, 200U);
        {
            SCOPED_TRACE("a thin one steps in for a wide one that the store does not answer");
            detach(view, watchers.front());
            EXPECT_EQ(watchersOf(view, "walu", forwarderCounts).size(), 3U);
        }
        {
            SCOPED_TRACE("links that differ little are alike, so that the choice stays where it was");
            for (Member& member : view.members)
                member.linkMegabits = member.name == "walu-7" ? 600 : 1000;
            MembersView alike = view;
            for (Member& member : alike.members)
                member.linkMegabits = 0;
            EXPECT_EQ(watchersOf(view, "walu", forwarderCounts), watchersOf(alike, "walu", forwarderCounts));
        }
    }

    TEST(ConfigurationWatchersTest, twoOfEachZoneWatchHoweverLargeItIs)
    {
        for (const std::size_t perZone : { 2U, 3U, 40U }) {
            SCOPED_TRACE(perZone);
            EXPECT_EQ(countWatchers(viewOf(perZone), "walu"), 2U);
            EXPECT_EQ(countWatchers(viewOf(perZone), "laucala"), 2U);
        }
    }

    TEST(ConfigurationWatchersTest, everyBalancerOfASmallFleetWatches)
    {
        EXPECT_TRUE(isConfigurationWatcher(MembersView {}));
        EXPECT_EQ(countWatchers(viewOf(1), "walu"), 1U);
        EXPECT_EQ(countWatchers(viewOf(1, MemberState::Joining), "walu"), 1U);
    }

    TEST(ConfigurationWatchersTest, anotherTakesOverWhenAWatcherDies)
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

    TEST(ConfigurationWatchersTest, oneOfEachZoneIsEnoughWhereThereAreThree)
    {
        EXPECT_EQ(
            countWatchers(viewOf(5, MemberState::Serving, { "walu", "laucala", "nabua" }), "walu", forwarderCounts),
            1U);
        EXPECT_EQ(countWatchers(viewOf(5), "walu", forwarderCounts), 2U);
        EXPECT_EQ(countWatchers(viewOf(5, MemberState::Serving, { "walu" }), "walu", forwarderCounts), 3U);
    }

    // Symptom: a zone would have no news of its own for as long as the store turns its only watcher away.
    // Sequence: the store refuses the calls of some balancers, those that watch among them.
    // Cause: a watcher that the store does not answer lives and serves, so it was never replaced.
    TEST(ConfigurationWatchersTest, aWatcherThatTheStoreDoesNotAnswerIsReplacedAndGoesOnTrying)
    {
        MembersView view = viewOf(5, MemberState::Serving, { "walu", "laucala", "nabua" });
        const std::vector<BalancerId> first = watchersOf(view, "walu", forwarderCounts);
        ASSERT_EQ(first.size(), 1U);
        detach(view, first[0]);
        const std::vector<BalancerId> second = watchersOf(view, "walu", forwarderCounts);
        EXPECT_EQ(second.size(), 2U);
        EXPECT_EQ(std::ranges::count(second, first[0]), 1);
        {
            SCOPED_TRACE("the store answers nobody: no more than three of a zone go on calling it");
            for (std::size_t i = 0; i < 5; ++i) {
                for (const BalancerId id : watchersOf(view, "walu", forwarderCounts))
                    detach(view, id);
            }
            EXPECT_EQ(countWatchers(view, "walu", forwarderCounts), 3U);
        }
    }

}

}
