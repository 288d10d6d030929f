#include "Peers/ConfigurationWatchers.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace wisteriadock {

namespace {

    MembersView viewOf(std::size_t perZone, MemberState state = MemberState::Serving)
    {
        MembersView view;
        for (const auto* zone : { "walu", "laucala" }) {
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

    std::size_t countWatchers(MembersView view, std::string_view zone)
    {
        std::size_t watchers = 0;
        for (const Member& member : view.members) {
            view.self = member.id;
            watchers += member.availabilityZone == zone && shallWatchConfiguration(view);
        }
        return watchers;
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
        EXPECT_TRUE(shallWatchConfiguration(MembersView {}));
        EXPECT_EQ(countWatchers(viewOf(1), "walu"), 1U);
        EXPECT_EQ(countWatchers(viewOf(1, MemberState::Joining), "walu"), 1U);
    }

    TEST(ConfigurationWatchersTest, anotherTakesOverWhenAWatcherDies)
    {
        MembersView view = viewOf(5);
        for (Member& member : view.members) {
            view.self = member.id;
            if (member.availabilityZone != "walu" || !shallWatchConfiguration(view))
                continue;
            member.state = MemberState::Dead;
            break;
        }
        std::erase_if(view.members, [](const Member& member) { return member.state == MemberState::Dead; });
        EXPECT_EQ(countWatchers(view, "walu"), 2U);
    }

}

}
