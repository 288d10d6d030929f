#include "Membership/Ownership.h"

#include "Core/Hash.h"

#include <utility>

namespace wisteriadock {

namespace {

    struct Candidate {
        const Member* member = nullptr;
        std::uint64_t hash = 0;

        // Equal hashes are ordered by id, so that the result does not depend on the order of the members.
        bool ranksAbove(const Candidate& other) const
        {
            if (!other.member)
                return true;
            return hash != other.hash ? hash > other.hash : member->id > other.member->id;
        }

        std::optional<BalancerId> id() const { return member ? std::optional(member->id) : std::nullopt; }
    };

}

Owners ownersOf(const MembersView& view, std::uint64_t key, std::string_view availabilityZone)
{
    Candidate first;
    Candidate second;
    for (const Member& member : view.members) {
        if (member.state != MemberState::Serving)
            continue;
        if (!availabilityZone.empty() && member.availabilityZone != availabilityZone)
            continue;
        const Candidate candidate { &member, hashPair(key, member.id.value) };
        if (candidate.ranksAbove(first))
            second = std::exchange(first, candidate);
        else if (candidate.ranksAbove(second))
            second = candidate;
    }
    return { first.id(), second.id() };
}

std::optional<BalancerId> ownerOf(const MembersView& view, std::uint64_t key, std::string_view availabilityZone)
{
    return ownersOf(view, key, availabilityZone).first;
}

}
