#include "StoreSync/ReplicaSync.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace wisteriadock {

ReplicaSync::ReplicaSync(std::string availabilityZone, std::uint64_t seed, ReplicaSyncSettings settings)
    : availabilityZone_(std::move(availabilityZone))
    , settings_(settings)
    , random_(seed)
{
}

ReplicaSyncActions ReplicaSync::handleStoreDelta(const StoreDelta& delta, TimePoint now, bool isForOthers)
{
    const std::uint64_t formerRevision = replica_.completeTo();
    ReplicaSyncActions actions = merge("store", delta, Origin::Store, now);
    if (delta.isFresh)
        lastStoreContact_ = now;
    const bool isConfirmation = delta.isFresh && delta.items.empty() && delta.from == delta.to;
    const bool hasAdvanced = !delta.items.empty() && replica_.completeTo() > formerRevision;
    if (isForOthers && !replica_.refusal() && (!actions.empty() || hasAdvanced || isConfirmation))
        push(delta.isSnapshot ? changesInSnapshot(delta, formerRevision, now) : withoutCarriedOver(delta), actions);
    fetchIfBehind(now, actions);
    return actions;
}

// A watcher lists the store again when the store has dropped its history. The others of the zone lack what changed
// since the former revision, as after any other delta, and would otherwise learn of it by gossip only.
StoreDelta ReplicaSync::changesInSnapshot(const StoreDelta& snapshot, std::uint64_t formerRevision, TimePoint now) const
{
    if (formerRevision == 0)
        return snapshot;
    StoreDelta changes = replica_.deltaSince(formerRevision, now, StoreReplica::Encoding::Patched);
    // More than half of the store has changed with the era. Receivers fetch it.
    if (changes.isSnapshot && replica_.hasEnteredEra())
        changes = { changes.to, changes.to, false, false, {} };
    changes.isInDoubt = snapshot.isInDoubt;
    changes.isFresh = snapshot.isFresh;
    return changes;
}

// Receivers that hold everything up to the start of the delta hold these values as well.
StoreDelta ReplicaSync::withoutCarriedOver(const StoreDelta& delta) const
{
    StoreDelta rest = delta;
    std::erase_if(rest.items, [&](const StoreUpdate& item) { return replica_.isCarriedOver(item); });
    return rest;
}

ReplicaSyncActions ReplicaSync::handlePush(BalancerId sender, const StoreDelta& delta, TimePoint now)
{
    pushedRevisions_[sender] = std::max(pushedRevisions_[sender], delta.to);
    if (delta.isFresh)
        lastStoreContact_ = now;
    const Member* member = view_ ? view_->find(sender) : nullptr;
    ReplicaSyncActions actions = merge(member ? member->name : "unknown", delta, Origin::Balancer, now);
    fetchIfBehind(now, actions);
    return actions;
}

ReplicaSyncActions ReplicaSync::handleRelay(
    const Relay& incoming, const std::shared_ptr<const DeltaPiece>& piece, TimePoint now)
{
    ReplicaSyncActions actions;
    std::vector<const Member*> receivers = view_ ? othersInZone() : std::vector<const Member*>();
    std::erase_if(receivers,
        [&](const Member* member) { return !incoming.range.contains(member->id) || member->id == incoming.origin; });
    if (!receivers.empty())
        relay(receivers, incoming.origin, { piece }, actions);
    // The origin holds everything up to the delta's revision; the balancer that relayed it may have a gap.
    std::ranges::move(handlePush(incoming.origin, piece->delta, now), std::back_inserter(actions));
    return actions;
}

ReplicaSyncActions ReplicaSync::handleAnswer(const std::string& sender, StoreDelta delta, TimePoint now)
{
    fetchDeadline_.reset();
    // The ages in the answer are as of the request. Large answers take seconds to arrive.
    const auto transferTime = std::chrono::duration_cast<std::chrono::milliseconds>(now - fetchStartedAt_);
    for (StoreUpdate& item : delta.items)
        item.ageMilliseconds += static_cast<std::uint32_t>(transferTime.count());
    for (ValuePatch& patch : delta.patches)
        patch.ageMilliseconds += static_cast<std::uint32_t>(transferTime.count());
    ReplicaSyncActions actions = merge(sender, delta, Origin::Balancer, now);
    fetchEncoding_ = replica_.lacksPatchBase() ? StoreReplica::Encoding::Full : StoreReplica::Encoding::Patched;
    hasOwnZone_ = true;
    if (fetchScope_ == FetchScope::OwnZone && !delta.isSnapshot)
        otherZonesFrom_ = now + settings_.otherZonesDelay + jitter_;
    else if ((!delta.isSnapshot || replica_.hasEnteredEra()) && !actions.empty() && !replica_.refusal())
        isWatcher_ && !delta.isSnapshot ? push(delta, actions) : announce(actions);
    fetchIfBehind(now, actions);
    return actions;
}

void ReplicaSync::setRole(bool isWatcher, bool isStoreUnreachable)
{
    isWatcher_ = isWatcher;
    isStoreUnreachable_ = isStoreUnreachable;
}

ReplicaSyncActions ReplicaSync::handleFetchFailure(TimePoint now)
{
    fetchDeadline_.reset();
    ReplicaSyncActions actions;
    fetchIfBehind(now, actions);
    return actions;
}

ReplicaSyncActions ReplicaSync::handleRevisionRequest(BalancerId sender, const Endpoint& address)
{
    if (revisionRequests_.size() < settings_.maxRevisionRequests)
        revisionRequests_[sender] = address;
    ReplicaSyncActions actions;
    answerRevisionRequests(actions);
    return actions;
}

ReplicaSyncActions ReplicaSync::handleRevision(BalancerId sender, std::uint64_t revision, bool isAnswer, TimePoint now)
{
    pushedRevisions_[sender] = std::max(pushedRevisions_[sender], revision);
    if (isAnswer && revision > answeredRevision_) {
        answeringPeer_ = sender;
        answeredRevision_ = revision;
    }
    ReplicaSyncActions actions;
    fetchIfBehind(now, actions);
    return actions;
}

ReplicaSyncActions ReplicaSync::handleApplied()
{
    hasUnappliedUpdates_ = false;
    appliedRevision_ = replica_.completeTo();
    ReplicaSyncActions actions;
    answerRevisionRequests(actions);
    return actions;
}

void ReplicaSync::noteFetchProgress(TimePoint now)
{
    if (fetchDeadline_)
        fetchDeadline_ = now + settings_.answerTimeout;
}

ReplicaSyncActions ReplicaSync::handleView(std::shared_ptr<const MembersView> view, TimePoint now)
{
    view_ = std::move(view);
    std::erase_if(pushedRevisions_, [&](const auto& row) { return !view_->find(row.first); });
    ReplicaSyncActions actions;
    fetchIfBehind(now, actions);
    return actions;
}

ReplicaSyncActions ReplicaSync::tick(TimePoint now)
{
    replica_.tick(now);
    if (fetchDeadline_ && now >= *fetchDeadline_)
        fetchDeadline_.reset();
    ReplicaSyncActions actions;
    answerRevisionRequests(actions);
    fetchIfBehind(now, actions);
    requestRevisions(now, actions);
    return actions;
}

std::optional<TimePoint> ReplicaSync::nextTick() const
{
    if (fetchDeadline_)
        return fetchDeadline_;
    if (behindSince_)
        return std::max(*behindSince_ + fetchDelay(true), otherZonesFrom_);
    return std::nullopt;
}

ReplicaSyncActions ReplicaSync::merge(const std::string& source, const StoreDelta& delta, Origin origin, TimePoint now)
{
    const std::uint64_t formerRevision = replica_.completeTo();
    StoreReplica::Updates changed
        = origin == Origin::Store ? replica_.mergeFromStore(delta, now) : replica_.merge(delta, now);
    ReplicaSyncActions actions;
    if (replica_.refusal())
        actions.emplace_back(DeltaRefused { *replica_.refusal(), source, delta.to, formerRevision });
    if (replica_.hasEnteredEra())
        actions.emplace_back(EraEntered { source, formerRevision, replica_.completeTo(), changed.size() });
    std::ranges::move(reportChanges(source, delta, std::move(changed), now), std::back_inserter(actions));
    return actions;
}

// What a restored store lacks is in doubt: those who wrote it may write it again.
ReplicaSyncActions ReplicaSync::reportChanges(
    const std::string& source, const StoreDelta& delta, StoreReplica::Updates changed, TimePoint now)
{
    ReplicaSyncActions actions;
    const bool entersEra = replica_.hasEnteredEra();
    if (changed.empty() && !entersEra)
        return actions;
    hasUnappliedUpdates_ = true;
    actions.emplace_back(ReplicaChanged { std::move(changed), delta.isInDoubt || entersEra, source,
        behindSince_ ? now - *behindSince_ : Duration::zero(), replica_.completeTo(), entersEra });
    return actions;
}

// Pushes small updates at once, in as many datagrams as they need, so that they don't wait for a large configuration.
// Large items are left to be fetched. A lost datagram or an omitted item leaves a gap in the revisions, which the
// receiver detects.
void ReplicaSync::push(const StoreDelta& delta, ReplicaSyncActions& actions)
{
    if (!view_ || delta.isSnapshot)
        return;
    const std::vector<const Member*> others = othersInZone();
    if (others.empty())
        return;
    auto pieces = piecesToPush(delta, others.size());
    // Only announces the revision of a delta that needs too many datagrams.
    if (!pieces)
        pieces = DeltaPieces { pieceOf({ delta.to, delta.to, false, delta.isInDoubt, {}, delta.isFresh }) };
    if (pieces->size() * others.size() > settings_.maxDirectPushes)
        return relay(others, view_->self, *pieces, actions);
    for (const auto& piece : *pieces) {
        for (const Member* member : others)
            actions.emplace_back(PushDelta { member->peerAddress, piece });
    }
}

// A delta that leads into an era is of use only as a whole.
std::optional<DeltaPieces> ReplicaSync::piecesToPush(const StoreDelta& delta, std::size_t receivers) const
{
    const auto isLarge = [this](const StoreUpdate& item) { return item.value.size() > settings_.maxPushBytes / 2; };
    if (delta.leadsIntoEra() && std::ranges::any_of(delta.items, isLarge))
        return std::nullopt;
    const std::size_t targets = std::min(receivers, settings_.relayFanout + 1);
    return splitDelta(
        delta, replica_, settings_.maxPushBytes, delta.leadsIntoEra() ? 1 : settings_.maxPushes / targets);
}

void ReplicaSync::relay(const std::vector<const Member*>& receivers, BalancerId origin, const DeltaPieces& pieces,
    ReplicaSyncActions& actions)
{
    for (const RelayTarget& target : relayTargets(receivers, view_->self, settings_.relayFanout, random_)) {
        for (const auto& piece : pieces)
            actions.emplace_back(PushDelta { target.member->peerAddress, piece, Relay { origin, target.range } });
    }
}

// Tells some balancers of a large zone that they can fetch from this one. Fetches of the whole zone from its watchers
// would saturate their links.
void ReplicaSync::announce(ReplicaSyncActions& actions)
{
    std::vector<const Member*> others = view_ ? othersInZone() : std::vector<const Member*>();
    if (others.size() < settings_.largeZoneSize)
        return;
    for (std::size_t i = 0; i < settings_.announcementFanout; ++i)
        actions.emplace_back(PushDelta { others[random_() % others.size()]->peerAddress, announcement() });
}

std::shared_ptr<const DeltaPiece> ReplicaSync::announcement() const
{
    return pieceOf({ replica_.completeTo(), replica_.completeTo(), false, false, {} });
}

void ReplicaSync::answerRevisionRequests(ReplicaSyncActions& actions)
{
    if (servedRevision() == 0)
        return;
    for (const auto& [id, address] : std::exchange(revisionRequests_, {}))
        actions.emplace_back(PushDelta { address, announcement() });
}

// When all balancers start together, gossip tells too late which of them has read the store.
void ReplicaSync::requestRevisions(TimePoint now, ReplicaSyncActions& actions)
{
    const bool asksPeers = view_ && replica_.completeTo() == 0 && fetchesImmediately_;
    if (!asksPeers || now < nextRevisionRequest_)
        return;
    nextRevisionRequest_ = now + settings_.revisionRequestInterval;
    std::vector<const Member*> members = othersInZone();
    std::ranges::shuffle(members, random_);
    std::ranges::stable_sort(
        members, std::greater {}, [](const Member* member) { return bandwidthClassOf(member->linkMegabits); });
    members.resize(std::min(members.size(), settings_.revisionRequestFanout));
    for (const Member* member : members)
        actions.emplace_back(RequestRevision { member->peerAddress });
}

std::vector<const Member*> ReplicaSync::othersInZone() const
{
    std::vector<const Member*> others;
    for (const Member& member : view_->members) {
        const bool isOther = member.id != view_->self && member.availabilityZone == availabilityZone_;
        if (isOther && member.isReachable())
            others.push_back(&member);
    }
    return others;
}

}
