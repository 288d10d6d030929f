#include "Forward/ServerDirectory.h"

#include "Core/NameTable.h"

#include <algorithm>
#include <iterator>

namespace wisteriadock {

namespace {

    constexpr auto stateNames = makeNameTable<ServerState>({
        { ServerState::Ready, "ready" },
        { ServerState::Draining, "draining" },
        { ServerState::Doubtful, "doubtful" },
        { ServerState::Gone, "gone" },
        { ServerState::Ended, "ended" },
    });

    const std::string& idOf(const KnownServer* server) { return server->entry.id; }

    ServerState stateOf(const RegisteredServer& entry)
    {
        return entry.readiness == ServerReadiness::Ready ? ServerState::Ready : ServerState::Draining;
    }

}

std::string_view nameOf(ServerState state) { return stateNames.name(state); }

ServerGroup* ServerDirectory::groupOf(const RegisteredServer& entry)
{
    std::vector<ServerGroup*>& groups = groupsByService_[entry.service];
    const auto place = std::ranges::lower_bound(groups, entry.availabilityZone, {}, &ServerGroup::availabilityZone);
    if (place != groups.end() && (*place)->availabilityZone == entry.availabilityZone)
        return *place;
    groups_.push_back(std::make_unique<ServerGroup>(ServerGroup { entry.service, entry.availabilityZone }));
    return *groups.insert(place, groups_.back().get());
}

void ServerDirectory::setGroup(KnownServer& record, ServerGroup* group)
{
    if (record.group == group)
        return;
    if (record.group)
        removeFromGroup(record);
    record.group = group;
    if (!isTerminated(record.state))
        addToGroup(record);
}

void ServerDirectory::addToGroup(KnownServer& record)
{
    std::vector<KnownServer*>& members = record.group->members;
    members.insert(std::ranges::lower_bound(members, record.entry.id, {}, idOf), &record);
    if (record.seen.unansweredSince != TimePoint::max())
        record.group->awaited.insert(&record);
}

void ServerDirectory::removeFromGroup(KnownServer& record)
{
    std::vector<KnownServer*>& members = record.group->members;
    const auto place = std::ranges::lower_bound(members, record.entry.id, {}, idOf);
    if (place != members.end() && *place == &record)
        members.erase(place);
    record.group->awaited.erase(&record);
}

// Resets the observation, which belongs to the former process.
void ServerDirectory::restart(
    KnownServer& record, const RegisteredServer& entry, TimePoint now, Transitions& transitions)
{
    const ServerState before = record.state;
    record.seen = {};
    record.isLeaving = false;
    setState(record, stateOf(entry), now);
    record.hasChangedService = record.hasChangedService || record.entry.service != entry.service;
    transitions.push_back({ entry.id, entry.service, entry.availabilityZone, before, record.state, false, true });
}

ServerDirectory::Transitions ServerDirectory::tick(TimePoint now)
{
    Transitions transitions;
    const std::vector<KnownServer*> expiring(expiring_.begin(), expiring_.end());
    for (KnownServer* record : expiring) {
        if (record->state == ServerState::Doubtful && isDoubtExpired(record->stateSince, now)) {
            enter(*record, ServerState::Gone, now, transitions);
            startTimes_.removeWithout(record->entry.id);
        }
        if (isTerminated(record->state) && now - record->stateSince >= settings_.retention)
            drop(*record);
    }
    std::ranges::move(reviewEntries(now), std::back_inserter(transitions));
    const std::vector<Endpoint> contested(contestedAddresses_.begin(), contestedAddresses_.end());
    for (const Endpoint address : contested)
        reviewAddress(address, now, transitions);
    return transitions;
}

// A zone that loses the store right after an outage of the store knows that all entries expired, but not that they
// reappeared. Its servers must stay doubtful, since it would otherwise send all new flows to zones it cannot reach.
bool ServerDirectory::isDoubtExpired(TimePoint since, TimePoint now) const
{
    const Duration age = now - since;
    const bool isConfirmed = lastStoreContact_ >= since + settings_.storeConfirmationTime;
    return age >= settings_.maxDoubtfulTime || (age >= settings_.minDoubtfulTime && isConfirmed);
}

void ServerDirectory::drop(KnownServer& record)
{
    expiring_.erase(&record);
    removeFromGroup(record);
    setStartTimeVote(record, StartTimeVote::None);
    if (!held_.contains(record.entry.id)) {
        startTimes_.removeWithout(record.entry.id);
        forgetReports(record.entry.id);
    }
    const auto claimed = byToken_.find(record.token);
    if (claimed != byToken_.end() && claimed->second == &record)
        byToken_.erase(claimed);
    const auto sameAddress = byAddress_.find(record.entry.address);
    std::erase(sameAddress->second, &record);
    if (sameAddress->second.empty())
        byAddress_.erase(sameAddress);
    records_.erase(records_.find(record.entry.id));
}

KnownServer* ServerDirectory::findByToken(std::uint32_t token)
{
    const auto found = byToken_.find(token);
    return found == byToken_.end() ? nullptr : found->second;
}

KnownServer* ServerDirectory::find(const std::string& id)
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : found->second.get();
}

const std::vector<ServerGroup*>& ServerDirectory::groupsOf(const std::string& service) const
{
    static const std::vector<ServerGroup*> none;
    const auto found = groupsByService_.find(service);
    return found == groupsByService_.end() ? none : found->second;
}

std::vector<KnownServer*> ServerDirectory::serversOf(const std::string& service) const
{
    std::vector<KnownServer*> servers;
    for (const ServerGroup* group : groupsOf(service))
        servers.insert(servers.end(), group->members.begin(), group->members.end());
    return servers;
}

std::size_t ServerDirectory::countFailing() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(records_, [](const auto& row) { return row.second->seen.isFailing; }));
}

std::size_t ServerDirectory::countOf(ServerState state) const
{
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(), [&](const auto& row) { return row.second->state == state; }));
}

void ServerDirectory::enter(KnownServer& record, ServerState state, TimePoint now, Transitions& transitions)
{
    if (record.state == state)
        return;
    const RegisteredServer& entry = record.entry;
    transitions.push_back({ entry.id, entry.service, entry.availabilityZone, record.state, state });
    setState(record, state, now);
}

void ServerDirectory::setState(KnownServer& record, ServerState state, TimePoint now)
{
    const bool wasListed = !isTerminated(record.state);
    const bool isListed = !isTerminated(state);
    record.state = state;
    record.stateSince = now;
    if (wasListed && !isListed)
        removeFromGroup(record);
    else if (isListed && !wasListed)
        addToGroup(record);
    if (isListed && state != ServerState::Doubtful)
        expiring_.erase(&record);
    else
        expiring_.insert(&record);
    countStartTime(record);
}

// If two incarnations have the same token, every balancer assigns it to the one with the smaller id, and the other gets
// no new flows. A gone or ended incarnation keeps the token until it is dropped, since it may have open flows.
void ServerDirectory::claimToken(KnownServer& record)
{
    const auto [claimed, isFree] = byToken_.try_emplace(record.token, &record);
    if (isFree)
        return;
    KnownServer& other = *claimed->second;
    const bool otherHoldsFlows = isTerminated(other.state) || other.entry.id < record.entry.id;
    KnownServer& loser = otherHoldsFlows ? record : other;
    loser.hasTokenConflict = true;
    claimed->second = otherHoldsFlows ? &other : &record;
}

}
