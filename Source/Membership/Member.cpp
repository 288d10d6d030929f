#include "Membership/Member.h"

#include "Core/NameTable.h"

#include <algorithm>
#include <bit>

namespace wisteriadock {

namespace {

    constexpr auto memberStateNames = makeNameTable<MemberState>({
        { MemberState::Joining, "joining" },
        { MemberState::Serving, "serving" },
        { MemberState::Detached, "detached" },
        { MemberState::Leaving, "leaving" },
        { MemberState::Dead, "dead" },
    });

}

std::string_view nameOf(MemberState state) { return memberStateNames.name(state); }

int bandwidthClassOf(std::uint32_t linkMegabits) { return static_cast<int>(std::bit_width(linkMegabits)); }

const Member* MembersView::find(BalancerId id) const
{
    const auto found = std::lower_bound(
        members.begin(), members.end(), id, [](const Member& member, BalancerId wanted) { return member.id < wanted; });
    return found != members.end() && found->id == id ? &*found : nullptr;
}

}
