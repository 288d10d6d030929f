#include "Forward/ServerDirectory.h"

#include "Core/NameTable.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr auto stateNames = makeNameTable<ServerState>({
        { ServerState::Ready, "ready" },
        { ServerState::Draining, "draining" },
        { ServerState::Doubtful, "doubtful" },
        { ServerState::Gone, "gone" },
        { ServerState::Ended, "ended" },
    });

    bool isTerminated(ServerState state) { return state == ServerState::Gone || state == ServerState::Ended; }

    ServerState stateOf(const RegisteredServer& entry)
    {
        return entry.readiness == ServerReadiness::Ready ? ServerState::Ready : ServerState::Draining;
    }

}

std::string_view nameOf(ServerState state) { return stateNames.name(state); }

ServerDirectory::Transitions ServerDirectory::put(const RegisteredServer& entry, std::uint64_t revision, TimePoint now)
{
    Transitions transitions;
    auto& slot = records_[entry.id];
    const bool isNew = !slot;
    if (!isNew && (isOfEarlierStart(*slot, entry, now) || isLateWrite(*slot, entry)))
        return transitions;
    if (isNew) {
        slot = std::make_unique<KnownServer>();
        slot->token = tokenOf(entry.number);
        slot->stateSince = now;
        slot->state = stateOf(entry);
    }
    KnownServer& record = *slot;
    if (!isNew && record.entry.startedAt != entry.startedAt)
        restart(record, entry, revision, now, transitions);
    if (isNew) {
        byAddress_[entry.address].push_back(&record);
    } else if (record.entry.address != entry.address) {
        std::erase(byAddress_[record.entry.address], &record);
        byAddress_[entry.address].push_back(&record);
    }
    if (isNew || record.entry.address != entry.address) {
        record.knownSince = now;
        record.knownSinceRevision = revision;
    }
    record.entry = entry;
    record.group = groupOf(entry);
    record.revision = revision;
    record.writtenAt = now;
    record.warmUntil = now + entry.warmupLeft;
    if (isNew) {
        claimToken(record);
        transitions.push_back({ entry.id, entry.service, entry.availabilityZone, record.state, record.state, true });
    }
    enter(record, stateOf(entry), now, transitions);
    endFormerServersAt(entry.address, now, transitions);
    isServiceIndexCurrent_ = false;
    return transitions;
}

ServerGroup* ServerDirectory::groupOf(const RegisteredServer& entry)
{
    auto& group = groups_[{ entry.service, entry.availabilityZone }];
    if (!group)
        group = std::make_unique<ServerGroup>(ServerGroup { entry.service, entry.availabilityZone });
    return group.get();
}

// Guards against a delayed write of a killed process: it can take effect after the server has restarted under its id
// and registered, and then has the higher revision.
bool ServerDirectory::isOfEarlierStart(const KnownServer& record, const RegisteredServer& entry, TimePoint now) const
{
    return entry.startedAt < record.entry.startedAt && now - record.writtenAt < settings_.earlierStartTimeout;
}

// Resets the observation, which belongs to the former process.
void ServerDirectory::restart(
    KnownServer& record, const RegisteredServer& entry, std::uint64_t revision, TimePoint now, Transitions& transitions)
{
    const ServerState before = record.state;
    record.seen = {};
    record.state = stateOf(entry);
    record.stateSince = now;
    record.knownSince = now;
    record.knownSinceRevision = revision;
    record.hasChangedService = record.hasChangedService || record.entry.service != entry.service;
    transitions.push_back({ entry.id, entry.service, entry.availabilityZone, before, record.state, false, true });
}

ServerDirectory::Transitions ServerDirectory::invalidate(const std::string& id, std::uint64_t revision, TimePoint now)
{
    Transitions transitions = remove(id, false, now);
    if (KnownServer* record = find(id))
        record->revision = revision;
    return transitions;
}

ServerDirectory::Transitions ServerDirectory::remove(const std::string& id, bool isUncertain, TimePoint now)
{
    Transitions transitions;
    KnownServer* record = find(id);
    if (!record || isTerminated(record->state))
        return transitions;
    const bool mayReturn = isUncertain && record->state != ServerState::Draining;
    enter(*record, mayReturn ? ServerState::Doubtful : ServerState::Gone, now, transitions);
    isServiceIndexCurrent_ = false;
    return transitions;
}

ServerDirectory::Transitions ServerDirectory::tick(TimePoint now)
{
    Transitions transitions;
    for (auto& [id, record] : records_) {
        if (record->state == ServerState::Doubtful && isDoubtExpired(*record, now))
            enter(*record, ServerState::Gone, now, transitions);
    }
    const std::size_t before = records_.size();
    absl::erase_if(records_, [&](const auto& row) {
        const KnownServer& record = *row.second;
        const bool isExpired = isTerminated(record.state) && now - record.stateSince >= settings_.retention;
        if (!isExpired)
            return false;
        forget(record);
        return true;
    });
    if (!transitions.empty() || records_.size() != before)
        isServiceIndexCurrent_ = false;
    return transitions;
}

// A zone that loses the store right after an outage of the store knows that all entries expired, but not that they
// reappeared. Its servers must stay doubtful, since it would otherwise send all new flows to zones it cannot reach.
bool ServerDirectory::isDoubtExpired(const KnownServer& record, TimePoint now) const
{
    const Duration age = now - record.stateSince;
    const bool isConfirmed = lastStoreContact_ >= record.stateSince + settings_.storeConfirmationTime;
    return age >= settings_.maxDoubtfulTime || (age >= settings_.minDoubtfulTime && isConfirmed);
}

void ServerDirectory::forget(const KnownServer& record)
{
    const auto claimed = byToken_.find(record.token);
    if (claimed != byToken_.end() && claimed->second == &record)
        byToken_.erase(claimed);
    const auto sameAddress = byAddress_.find(record.entry.address);
    std::erase(sameAddress->second, &record);
    if (sameAddress->second.empty())
        byAddress_.erase(sameAddress);
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

const std::vector<KnownServer*>& ServerDirectory::serversOf(const std::string& service)
{
    if (!isServiceIndexCurrent_)
        rebuildServiceIndex();
    static const std::vector<KnownServer*> none;
    const auto found = byService_.find(service);
    return found == byService_.end() ? none : found->second;
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
    record.state = state;
    record.stateSince = now;
}

// An address is reused only after its former server has ended, so of two servers at an address the former one has ended
// even if its entry has not expired yet. It must get no new flows, and its open flows must be reset.
void ServerDirectory::endFormerServersAt(Endpoint address, TimePoint now, Transitions& transitions)
{
    const std::vector<KnownServer*>& sameAddress = byAddress_[address];
    for (KnownServer* record : sameAddress) {
        const bool hasEnded = std::ranges::any_of(sameAddress,
            [&](const KnownServer* other) { return other != record && isReplacedBy(*record, *other, now); });
        if (hasEnded)
            enter(*record, ServerState::Ended, now, transitions);
    }
}

// Start times decide if both are known. Neither the order of revisions nor the order of arrival suffices alone: a write
// of an ended process may take effect seconds after its successor has registered, and updates arrive on several paths.
// Taking a delayed write for a later process would reset open flows of a live one. So unless both orders agree, no
// server is taken for ended, nor is one that has answered recently.
bool ServerDirectory::isReplacedBy(const KnownServer& former, const KnownServer& other, TimePoint now) const
{
    const bool areStartTimesKnown = former.entry.startedAt != 0 && other.entry.startedAt != 0;
    if (areStartTimesKnown)
        return former.entry.startedAt < other.entry.startedAt;
    const TimePoint lastProgress = former.seen.lastProgress;
    const bool hasAnsweredRecently
        = lastProgress != TimePoint::min() && now - lastProgress < settings_.addressReuseTime;
    return former.knownSince < other.knownSince && former.knownSinceRevision < other.knownSinceRevision
        && !hasAnsweredRecently;
}

bool ServerDirectory::isLateWrite(const KnownServer& record, const RegisteredServer& entry) const
{
    return record.state == ServerState::Ended && record.entry.startedAt == entry.startedAt
        && record.entry.address == entry.address;
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

void ServerDirectory::rebuildServiceIndex()
{
    isServiceIndexCurrent_ = true;
    for (auto& [service, servers] : byService_)
        servers.clear();
    for (auto& [id, record] : records_) {
        if (!isTerminated(record->state))
            byService_[record->entry.service].push_back(record.get());
    }
    // Sorted, so that balancers with the same view choose the same servers.
    for (auto& [service, servers] : byService_)
        std::ranges::sort(
            servers, [](const KnownServer* a, const KnownServer* b) { return a->entry.id < b->entry.id; });
}

}
