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
        rosters_.clear();
    self_ = self;
    isSettled_ = isSettled;
    for (const std::uint32_t id : ids)
        lastThere_[id] = now;
    absl::erase_if(lastThere_, [&](const auto& row) { return now - row.second >= settings_.absenceTimeout; });
    if (rosters_.empty() || rosters_.back().ids != ids)
        rosters_.push_back({ now, std::move(ids) });
    // A roster counts until the next one has stood for the time of a handover.
    while (rosters_.size() > 1 && now - rosters_[1].since >= handover())
        rosters_.erase(rosters_.begin());
}

bool ColdStartLimiter::isOwnerIn(const Roster& roster, std::uint64_t server) const
{
    std::size_t before = 0;
    const std::uint64_t own = hashPair(server, self_);
    bool isListed = false;
    for (const std::uint32_t id : roster.ids) {
        isListed |= id == self_;
        before += id != self_ && hashPair(server, id) > own;
    }
    return isListed && before < settings_.owners;
}

bool ColdStartLimiter::isOwner(std::uint64_t server, TimePoint now) const
{
    if (!isSettled_ || rosters_.empty() || !isMajority())
        return false;
    // The first roster is that of a start, or has been followed by another one for the time of a handover.
    const bool isOldEnough = now - rosters_.front().since >= handover();
    return isOldEnough
        && std::ranges::all_of(rosters_, [&](const Roster& roster) { return isOwnerIn(roster, server); });
}

bool ColdStartLimiter::mayOpenFlow(const RegisteredServer& server, const ColdStartLimit& coldStart, TimePoint now)
{
    if (server.availabilityZone != availabilityZone_ || !isOwner(server.number, now))
        return false;
    const double bound = coldStart.flowsPerSecond * settings_.overage + settings_.slack;
    const double share = std::floor(bound / static_cast<double>(settings_.owners));
    const auto found = tries_.find(server.number);
    if (found == tries_.end())
        return share >= 1;
    std::erase_if(found->second, [&](TimePoint at) { return now - at >= settings_.window; });
    return static_cast<double>(found->second.size()) + 1 <= share;
}

void ColdStartLimiter::noteAttempt(const RegisteredServer& server, TimePoint now)
{
    tries_[server.number].push_back(now);
}

void ColdStartLimiter::tick(TimePoint now)
{
    absl::erase_if(tries_, [&](const auto& row) { return now - row.second.back() >= settings_.window; });
}

}
