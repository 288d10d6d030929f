#include "Forward/ColdStartLimit.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cmath>

namespace wisteriadock {

TimePoint coldUntil(const KnownServer& server, const ColdStartLimit& coldStart, const EvacuatedZones& zones)
{
    TimePoint until = server.warmUntil;
    const ServerGroup& group = *server.group;
    if (group.returnedAt != TimePoint::min() && server.writtenAt < group.failedAt)
        until = std::max(until, group.returnedAt + coldStart.duration);
    const TimePoint revokedAt = zones.revokedAt(server.entry.availabilityZone);
    if (revokedAt != TimePoint::min() && server.writtenAt < revokedAt)
        until = std::max(until, revokedAt + coldStart.duration);
    return until;
}

void ColdStartLimiter::setBalancers(std::uint32_t self, std::vector<std::uint32_t> ids, bool isSettled, TimePoint now)
{
    std::ranges::sort(ids);
    if (self != self_)
        memberLists_.clear();
    self_ = self;
    isSettled_ = isSettled;
    for (const std::uint32_t id : ids)
        lastSeen_[id] = now;
    absl::erase_if(lastSeen_, [&](const auto& row) { return now - row.second >= settings_.absenceTimeout; });
    if (memberLists_.empty() || memberLists_.back().ids != ids)
        memberLists_.push_back({ now, std::move(ids) });
    // An earlier list counts until its successor is older than the handover time.
    while (memberLists_.size() > 1 && now - memberLists_[1].since >= handoverTime())
        memberLists_.erase(memberLists_.begin());
}

bool ColdStartLimiter::isOwnerIn(const MemberList& list, std::uint64_t server) const
{
    std::size_t higherRanked = 0;
    const std::uint64_t own = hashPair(server, self_);
    bool isListed = false;
    for (const std::uint32_t id : list.ids) {
        isListed |= id == self_;
        higherRanked += id != self_ && hashPair(server, id) > own;
    }
    return isListed && higherRanked < settings_.owners;
}

bool ColdStartLimiter::isOwner(std::uint64_t server, TimePoint now) const
{
    if (!isSettled_ || memberLists_.empty() || !isMajority())
        return false;
    // After a start no list counts until it is older than the handover time.
    const bool isOldEnough = now - memberLists_.front().since >= handoverTime();
    return isOldEnough
        && std::ranges::all_of(memberLists_, [&](const MemberList& list) { return isOwnerIn(list, server); });
}

bool ColdStartLimiter::mayOpenFlow(const RegisteredServer& server, const ColdStartLimit& coldStart, TimePoint now)
{
    if (server.availabilityZone != availabilityZone_ || !isOwner(server.number, now))
        return false;
    const double limit = coldStart.flowsPerSecond * settings_.overage + settings_.slack;
    const double share = std::floor(limit / static_cast<double>(settings_.owners));
    const auto found = openings_.find(server.number);
    if (found == openings_.end())
        return share >= 1;
    std::erase_if(found->second, [&](TimePoint at) { return now - at >= settings_.window; });
    return static_cast<double>(found->second.size()) + 1 <= share;
}

void ColdStartLimiter::noteAttempt(const RegisteredServer& server, TimePoint now)
{
    openings_[server.number].push_back(now);
}

void ColdStartLimiter::tick(TimePoint now)
{
    absl::erase_if(openings_, [&](const auto& row) { return now - row.second.back() >= settings_.window; });
}

}
