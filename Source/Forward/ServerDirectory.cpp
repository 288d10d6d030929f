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
    isIndexed_ = false;
    return transitions;
}

ServerGroup* ServerDirectory::groupOf(const RegisteredServer& entry)
{
    auto& group = groups_[{ entry.service, entry.availabilityZone }];
    if (!group)
        group = std::make_unique<ServerGroup>(ServerGroup { entry.service, entry.availabilityZone });
    return group.get();
}

// Sequence: a server is killed while a write of its entry waits at the store, starts again under its id, registers, and
// then the write of its former process takes effect, with a higher revision.
bool ServerDirectory::isOfEarlierStart(const KnownServer& record, const RegisteredServer& entry, TimePoint now) const
{
    return entry.startedAt < record.entry.startedAt && now - record.writtenAt < settings_.earlierStartTimeout;
}

// Whatever was seen of the former process says nothing about this one, which has no flows and fails none.
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
    isIndexed_ = false;
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
        const bool isForgotten = isTerminated(record.state) && now - record.stateSince >= settings_.retention;
        if (!isForgotten)
            return false;
        forget(record);
        return true;
    });
    if (!transitions.empty() || records_.size() != before)
        isIndexed_ = false;
    return transitions;
}

// A zone cut off right after an outage of the store heard that all entries had lapsed, and never that they were back.
// It took its own servers, which answered all the while, for gone after two seconds, and sent everything to the few
// others, which it could not reach.
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
    const auto there = byAddress_.find(record.entry.address);
    std::erase(there->second, &record);
    if (there->second.empty())
        byAddress_.erase(there);
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
    if (!isIndexed_)
        index();
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

// An address is given to another server only after its former one has ended, so the process at an address that was
// known first is over, even while its entry has not lapsed yet. Without this, callers would get new flows to a server
// that is dead, and callers of its open flows would wait for nobody.
void ServerDirectory::endFormerServersAt(Endpoint address, TimePoint now, Transitions& transitions)
{
    const std::vector<KnownServer*>& there = byAddress_[address];
    for (KnownServer* record : there) {
        const bool isOverNow = std::ranges::any_of(
            there, [&](const KnownServer* other) { return other != record && isReplacedBy(*record, *other, now); });
        if (isOverNow)
            enter(*record, ServerState::Ended, now, transitions);
    }
}

// The store's order of writes alone proves nothing: a write that was under way when its process ended may take effect
// seconds later, after the next process at the address has registered. Taking that for a later process reset open flows
// of a living one. Nor does the order in which news arrives, which comes by many ways. Where the two differ, or both
// became known at once as by a listing, nobody is taken for ended.
bool ServerDirectory::isReplacedBy(const KnownServer& former, const KnownServer& other, TimePoint now) const
{
    const bool areStartsTold = former.entry.startedAt != 0 && other.entry.startedAt != 0;
    if (areStartsTold)
        return former.entry.startedAt < other.entry.startedAt;
    const TimePoint life = former.seen.lastProgress;
    const bool livedLately = life != TimePoint::min() && now - life < settings_.addressReuseTime;
    return former.knownSince < other.knownSince && former.knownSinceRevision < other.knownSinceRevision && !livedLately;
}

bool ServerDirectory::isLateWrite(const KnownServer& record, const RegisteredServer& entry) const
{
    return record.state == ServerState::Ended && record.entry.startedAt == entry.startedAt
        && record.entry.address == entry.address;
}

// Two incarnations with one token: packets go to the one whose id is smaller, at every balancer, and the other gets no
// flows. An incarnation that is over gives way only when it is forgotten, since its flows may be open.
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

void ServerDirectory::index()
{
    isIndexed_ = true;
    for (auto& [service, servers] : byService_)
        servers.clear();
    for (auto& [id, record] : records_) {
        if (!isTerminated(record->state))
            byService_[record->entry.service].push_back(record.get());
    }
    // The order must not depend on the hash table's, so that equal views choose alike.
    for (auto& [service, servers] : byService_)
        std::ranges::sort(
            servers, [](const KnownServer* a, const KnownServer* b) { return a->entry.id < b->entry.id; });
}

}
