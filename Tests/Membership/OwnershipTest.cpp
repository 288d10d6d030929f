#include "Membership/Ownership.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace wisteriadock {
namespace {

    MembersView viewOf(std::size_t count)
    {
        MembersView view;
        for (std::size_t i = 0; i < count; ++i) {
            Member member;
            member.name = "b" + std::to_string(i);
            member.id = balancerIdOf(member.name);
            member.availabilityZone = i % 2 == 0 ? "walu" : "nabua";
            member.state = MemberState::Serving;
            view.members.push_back(member);
        }
        std::sort(view.members.begin(), view.members.end(),
            [](const Member& left, const Member& right) { return left.id < right.id; });
        return view;
    }

    TEST(OwnershipTest, KeysSpreadEvenlyAndMoveOnlyFromARemovedMember)
    {
        const MembersView before = viewOf(7);
        MembersView after = before;
        const BalancerId removed = after.members[3].id;
        after.members[3].state = MemberState::Leaving;
        std::size_t ownedByRemoved = 0;
        for (std::uint64_t key = 0; key < 7000; ++key) {
            const Owners owners = ownersOf(before, key);
            ASSERT_TRUE(owners.first && owners.second);
            EXPECT_NE(*owners.first, *owners.second);
            const bool moves = *owners.first == removed;
            ownedByRemoved += moves ? 1 : 0;
            EXPECT_EQ(ownerOf(after, key), moves ? owners.second : owners.first);
        }
        EXPECT_NEAR(static_cast<double>(ownedByRemoved), 1000, 150);
    }

    TEST(OwnershipTest, OwnersAreServingMembersOfTheAvailabilityZone)
    {
        MembersView view = viewOf(6);
        for (std::uint64_t key = 0; key < 100; ++key)
            EXPECT_EQ(view.find(*ownerOf(view, key, "walu"))->availabilityZone, "walu");
        EXPECT_FALSE(ownerOf(view, 1, "laucala"));
        for (Member& member : view.members)
            member.state = MemberState::Joining;
        EXPECT_EQ(ownersOf(view, 1), Owners {});
    }

}
}
