#include "Request/RequestRouter.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    bool isReachable(const BalancerInstance& holder, const MembersView& view)
    {
        return std::any_of(view.members.begin(), view.members.end(), [&](const Member& member) {
            if (member.id != holder.id)
                return false;
            // A record that names a later incarnation is newer than the view.
            const bool isViewBehind = member.incarnation < holder.incarnation;
            return isViewBehind || (member.incarnation == holder.incarnation && member.state != MemberState::Dead);
        });
    }

}

RequestRouter::RequestRouter(const BalancerInstance& self, std::vector<std::string> zones)
    : self_(self)
    , zones_(std::move(zones))
{
}

bool RequestRouter::learnTerm(const ClaimTerm& term)
{
    const auto [known, isNew] = terms_.try_emplace(term.zone, term);
    if (!isNew && known->second.epoch >= term.epoch)
        return false;
    known->second = term;
    return true;
}

const ClaimTerm* RequestRouter::termOf(const std::string& zone) const
{
    const auto found = terms_.find(zone);
    return found == terms_.end() ? nullptr : &found->second;
}

Route RequestRouter::route(const RequestKey& key, const MembersView& view) const
{
    if (key.homeZone >= zones_.size())
        return {};
    const ClaimTerm* term = termOf(zones_[key.homeZone]);
    const auto pair = term ? term->pairOf(claimBucketOf(key.digest)) : std::nullopt;
    if (!pair)
        return {};
    if (pair->owner == self_)
        return { AttemptRouteKind::Local, self_ };
    if (!isReachable(pair->owner, view))
        return { AttemptRouteKind::Unreachable, pair->owner };
    return { AttemptRouteKind::Forward, pair->owner };
}

}
