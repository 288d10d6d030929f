#include "Forward/ServerDirectory.h"

#include "Forward/ForwardingConfiguration.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace wisteriadock {

namespace {

    // The warm-up time counts down in each write of a server that has just started.
    RegisteredServer withoutWarmup(RegisteredServer entry)
    {
        entry.warmupLeft = {};
        return entry;
    }

}

ServerDirectory::Transitions ServerDirectory::put(
    const RegisteredServer& entry, std::uint64_t revision, TimePoint now, EntryAge age)
{
    Transitions transitions;
    ReceivedEntry received { entry, revision, age, now };
    // A server that starts writes other values into its entry each time.
    const auto former = held_.find(entry.id);
    if (former != held_.end() && isSameProcess(former->second.entry, entry)) {
        received.since = former->second.since;
        received.reason = former->second.reason;
    }
    releaseHeld(entry.id);
    const KnownServer* known = find(entry.id);
    if (entry.startedAt != 0 || !isNamed(entry.service))
        startTimes_.removeWithout(entry.id);
    else if (!known || known->entry.startedAt == 0)
        startTimes_.addWithout(entry.id);
    admit(std::move(received), now, transitions);
    reviewStartTimes(now, transitions);
    return transitions;
}

void ServerDirectory::admit(ReceivedEntry&& received, TimePoint now, Transitions& transitions)
{
    const std::string id = received.entry.id;
    KnownServer* known = find(id);
    const EntryVerdict verdict = judgeEntry(received.entry, factsOf(received, known, now), settings_.entries);
    const bool isApplied = verdict.outcome == EntryOutcome::Applied;
    if (isApplied || received.reason != verdict.reason)
        count(verdict.outcome);
    if (isApplied) {
        releaseHeld(id);
        std::erase_if(reported_, [&](const auto& row) {
            return row.first.first == id && row.second.entry != withoutWarmup(received.entry);
        });
        return apply(received, verdict.action == EntryVerdict::Action::Restart, now, transitions);
    }
    const KnownServer* holder
        = verdict.reason == EntryReason::NumberInUse ? findByToken(tokenOf(received.entry.number)) : known;
    report(received, holder ? holder->entry.id : id, verdict.reason, verdict.outcome);
    if (known && verdict.action == EntryVerdict::Action::Suspend)
        suspend(*known, now, transitions);
    // Each new value shows that the key is being written, perhaps by the living server.
    if (known && known->presence == EntryPresence::Unusable)
        known->presenceSince = received.since;
    received.reason = verdict.reason;
    hold(std::move(received));
}

void ServerDirectory::hold(ReceivedEntry&& received)
{
    const std::string id = received.entry.id;
    releaseHeld(id);
    if (received.reason == EntryReason::ServiceNotNamed && !records_.contains(id)) {
        const std::uint32_t token = tokenOf(received.entry.number);
        auto& server = unnamed_[token] = std::make_unique<KnownServer>();
        server->entry = received.entry;
        server->token = token;
        server->revision = received.revision;
        server->state = ServerState::Gone;
        server->presence = EntryPresence::Unusable;
    }
    held_.insert_or_assign(id, std::move(received));
}

void ServerDirectory::releaseHeld(const std::string& id)
{
    const auto held = held_.find(id);
    if (held == held_.end())
        return;
    const auto unnamed = unnamed_.find(tokenOf(held->second.entry.number));
    if (unnamed != unnamed_.end() && unnamed->second->entry.id == id)
        unnamed_.erase(unnamed);
    held_.erase(held);
}

const KnownServer* ServerDirectory::findUnnamed(std::uint32_t token) const
{
    const auto found = unnamed_.find(token);
    if (found == unnamed_.end() || byAddress_.contains(found->second->entry.address))
        return nullptr;
    return found->second.get();
}

EntryFacts ServerDirectory::factsOf(const ReceivedEntry& received, const KnownServer* known, TimePoint now) const
{
    EntryFacts facts;
    facts.isServiceNamed = isNamed(received.entry.service);
    facts.isStartTimeExpected = startTimes_.isExpected();
    const auto holder = byToken_.find(tokenOf(received.entry.number));
    facts.isNumberTaken = holder != byToken_.end() && holder->second != known
        && holder->second->entry.number == received.entry.number && holder->second->state != ServerState::Ended;
    facts.heldFor = now - received.since;
    facts.isConfirmed = lastStoreContact_ != TimePoint::min()
        && lastStoreContact_ - received.since >= settings_.storeConfirmationTime;
    if (!known)
        return facts;
    facts.known = &known->entry;
    facts.hasEnded = known->state == ServerState::Ended;
    facts.hasToldNoStartTime = known->hasToldNoStartTime;
    if (known->seen.lastProgress != TimePoint::min())
        facts.silentFor = now - known->seen.lastProgress;
    return facts;
}

void ServerDirectory::apply(const ReceivedEntry& received, bool isRestart, TimePoint now, Transitions& transitions)
{
    const RegisteredServer& entry = received.entry;
    auto& slot = records_[entry.id];
    const bool isNew = !slot;
    if (isNew) {
        slot = std::make_unique<KnownServer>();
        slot->token = tokenOf(entry.number);
        slot->stateSince = now;
        slot->state = entry.readiness == ServerReadiness::Ready ? ServerState::Ready : ServerState::Draining;
    }
    KnownServer& record = *slot;
    if (!isNew && isRestart)
        restart(record, entry, now, transitions);
    std::optional<Endpoint> formerAddress;
    if (isNew) {
        byAddress_[entry.address].push_back(&record);
    } else if (record.entry.address != entry.address) {
        formerAddress = record.entry.address;
        std::erase(byAddress_[record.entry.address], &record);
        byAddress_[entry.address].push_back(&record);
    }
    if (isNew || formerAddress || record.presence == EntryPresence::Removed)
        record.claimedSince = received.since;
    if (isNew || formerAddress) {
        record.atAddressSince = now;
        record.atAddressRevision = received.age == EntryAge::Newest ? received.revision : 0;
        record.contestedSince = TimePoint::max();
    }
    record.entry = entry;
    record.hasToldNoStartTime = record.hasToldNoStartTime || entry.startedAt == 0;
    setGroup(record, groupOf(entry));
    countStartTime(record);
    record.revision = received.revision;
    record.writtenAt = now;
    record.warmUntil = now + entry.warmupLeft;
    setPresence(record, EntryPresence::Present, now);
    if (isNew) {
        claimToken(record);
        transitions.push_back({ entry.id, entry.service, entry.availabilityZone, record.state, record.state, true });
    }
    record.isLeaving = record.isLeaving || entry.readiness == ServerReadiness::Draining;
    enter(record, record.isLeaving ? ServerState::Draining : ServerState::Ready, now, transitions);
    reviewAddress(entry.address, now, transitions);
    if (formerAddress)
        reviewAddress(*formerAddress, now, transitions);
}

ServerDirectory::Transitions ServerDirectory::invalidate(const std::string& id, std::uint64_t revision, TimePoint now)
{
    Transitions transitions;
    releaseHeld(id);
    count(EntryOutcome::Rejected);
    if (KnownServer* record = find(id)) {
        suspend(*record, now, transitions);
        record->presenceSince = now;
        record->revision = revision;
    }
    return transitions;
}

void ServerDirectory::suspend(KnownServer& record, TimePoint now, Transitions& transitions)
{
    setPresence(record, EntryPresence::Unusable, now);
    if (!isTerminated(record.state))
        enter(record, ServerState::Gone, now, transitions);
    reviewAddress(record.entry.address, now, transitions);
}

ServerDirectory::Transitions ServerDirectory::remove(const std::string& id, bool isUncertain, TimePoint now)
{
    Transitions transitions;
    releaseHeld(id);
    forgetReports(id);
    KnownServer* record = find(id);
    if (!isUncertain || !record)
        startTimes_.removeWithout(id);
    if (!record)
        return transitions;
    const bool wasRemoved = record->presence == EntryPresence::Removed;
    record->isRemovalUncertain = isUncertain && (!wasRemoved || record->isRemovalUncertain);
    setPresence(*record, EntryPresence::Removed, now);
    if (!isTerminated(record->state)) {
        const bool mayReturn = isUncertain && record->state != ServerState::Draining;
        enter(*record, mayReturn ? ServerState::Doubtful : ServerState::Gone, now, transitions);
    }
    reviewAddress(record->entry.address, now, transitions);
    return transitions;
}

void ServerDirectory::setPresence(KnownServer& record, EntryPresence presence, TimePoint now)
{
    if (record.presence == presence)
        return;
    record.presence = presence;
    record.presenceSince = now;
    countStartTime(record);
}

bool ServerDirectory::isEntryMissing(const KnownServer& record, TimePoint now) const
{
    return record.presence == EntryPresence::Removed
        && now - record.presenceSince >= settings_.entries.removalConfirmationTime;
}

bool ServerDirectory::isEntryGone(const KnownServer& record, TimePoint now) const
{
    return isEntryMissing(record, now) && (!record.isRemovalUncertain || isDoubtExpired(record.presenceSince, now));
}

void ServerDirectory::addServices(const ForwardingConfiguration& configuration)
{
    addServices(configuration.services, configuration.routes);
}

void ServerDirectory::addServices(const ConfigurationChange& change) { addServices(change.services, change.routes); }

// Servers of a service that is no longer named keep their open flows, so its name is kept as well.
void ServerDirectory::addServices(
    const absl::flat_hash_set<std::string>& services, const std::vector<FlowRoute>& routes)
{
    const bool isFirst = !std::exchange(hasServices_, true);
    services_.insert(services.begin(), services.end());
    for (const FlowRoute& route : routes) {
        for (const RouteShare& share : route.shares)
            services_.insert(share.service);
    }
    if (!isFirst)
        return;
    // No flow was opened here before the first configuration.
    std::vector<KnownServer*> unnamed;
    forEach([&](KnownServer& record) {
        if (!isNamed(record.entry.service))
            unnamed.push_back(&record);
    });
    for (KnownServer* record : unnamed) {
        const bool isHeld = record->presence == EntryPresence::Present;
        ReceivedEntry received { record->entry, record->revision, EntryAge::Newest, record->writtenAt,
            EntryReason::ServiceNotNamed };
        startTimes_.removeWithout(record->entry.id);
        drop(*record);
        if (!isHeld)
            continue;
        count(EntryOutcome::Held);
        hold(std::move(received));
    }
}

ServerDirectory::Transitions ServerDirectory::reviewEntries(TimePoint now)
{
    Transitions transitions;
    std::vector<std::string> ids;
    ids.reserve(held_.size());
    for (const auto& [id, received] : held_)
        ids.push_back(id);
    std::ranges::sort(ids);
    for (const std::string& id : ids) {
        ReceivedEntry received = held_.at(id);
        if (received.entry.startedAt == 0 && isNamed(received.entry.service) && !find(id))
            startTimes_.addWithout(id);
        admit(std::move(received), now, transitions);
    }
    reviewStartTimes(now, transitions);
    return transitions;
}

void ServerDirectory::countStartTime(KnownServer& record)
{
    // A server whose key another writer has overwritten may live.
    const bool mayLive = !isTerminated(record.state)
        || (record.state == ServerState::Gone && record.presence == EntryPresence::Unusable);
    const bool hasAnswered = record.seen.lastProgress != TimePoint::min();
    const bool isTelling = !record.hasToldNoStartTime;
    if (!mayLive || (!isTelling && !hasAnswered))
        setStartTimeVote(record, StartTimeVote::None);
    else if (!isTelling)
        setStartTimeVote(record, StartTimeVote::AnsweringWithout);
    else
        setStartTimeVote(record, hasAnswered ? StartTimeVote::AnsweringTelling : StartTimeVote::Telling);
}

void ServerDirectory::setStartTimeVote(KnownServer& record, StartTimeVote vote)
{
    startTimes_.change(record.startTimeVote, vote);
    record.startTimeVote = vote;
}

void ServerDirectory::reviewStartTimes(TimePoint now, Transitions& transitions)
{
    if (!startTimes_.hasChanged())
        return;
    for (const std::string& id : startTimes_.sortedIdsWithout()) {
        const auto held = held_.find(id);
        const KnownServer* known = find(id);
        if (held != held_.end())
            admit(ReceivedEntry(held->second), now, transitions);
        else if (known && known->presence == EntryPresence::Present)
            admit({ known->entry, known->revision, EntryAge::Newest, now }, now, transitions);
    }
}

bool ServerDirectory::report(
    const ReceivedEntry& received, const std::string& server, EntryReason reason, EntryOutcome outcome)
{
    RegisteredServer entry = withoutWarmup(received.entry);
    ReportedConflicts& reported = reported_[{ entry.id, reason }];
    if (reported.entry != entry)
        reported = { entry, {} };
    if (!reported.servers.insert(server).second)
        return false;
    conflicts_.push_back({ entry.id, server, reason, outcome, entry.service, received.revision });
    return true;
}

void ServerDirectory::forgetReports(const std::string& id)
{
    std::erase_if(reported_, [&](const auto& row) { return row.first.first == id; });
}

}
