#include "StoreSync/ReplicaFreshness.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace wisteriadock {

namespace {

    // Confirmations that wait until the replica has reached them. Older ones are of no use once a newer one waits.
    constexpr std::size_t maxPending = 16;

    std::uint32_t millisecondsOf(Duration duration)
    {
        const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
        return static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
    }

}

ReplicaFreshness::ReplicaFreshness(std::string availabilityZone, std::uint64_t seed, ReplicaFreshnessSettings settings)
    : availabilityZone_(std::move(availabilityZone))
    , settings_(settings)
    , random_(seed)
{
}

std::optional<Duration> ReplicaFreshness::age(TimePoint now) const
{
    if (!isEnabled() || !confirmedAt_)
        return std::nullopt;
    return std::max(now - *confirmedAt_, Duration::zero());
}

ReplicaFreshnessActions ReplicaFreshness::handleHeartbeat(
    BalancerId sender, const WatcherHeartbeat& heartbeat, TimePoint now)
{
    ReplicaFreshnessActions actions;
    const BalancerId origin = heartbeat.origin == 0 ? sender : BalancerId { heartbeat.origin };
    if (view_ && heartbeat.range().first <= heartbeat.range().last) {
        std::vector<const Member*> receivers = othersInZone();
        std::erase_if(receivers,
            [&](const Member* member) { return !heartbeat.range().contains(member->id) || member->id == origin; });
        relay(receivers, heartbeat, actions);
    }
    const bool isOwn = view_ && origin == view_->self;
    if (!isEnabled() || !confirmedAt_ || isOwn)
        return actions;
    const TimePoint asOf = now - std::chrono::milliseconds(heartbeat.millisecondsSinceStoreResponse);
    const bool isAnswer = askedPeers_.erase(origin) > 0;
    const bool isFailedQuestion = heartbeat.hasAskedStore && heartbeat.isDetached;
    confirm(heartbeat.revision, asOf);
    if (heartbeat.revision > revision_)
        actions.emplace_back(RevisionHeard { origin, heartbeat.revision, isAnswer });
    if (isFailedQuestion) {
        noteFailedQuestion(origin, now);
    } else if (isAnswer) {
        // The age of a peer's view grows with each hop, so that peers can't confirm each other's old views for long.
        noteHeard(heartbeat.isDetached ? now : asOf, now);
    } else {
        if (heartbeat.isDetached)
            heardDetachedAt_ = now;
        noteHeard(now, now);
        // One watcher's heartbeats suffice: each costs every receiver a wake-up. If they cease, this balancer's own
        // ones follow before the others miss two.
        if (!heartbeat.isDetached || contact_.isUnreachable)
            nextHeartbeat_ = std::max(nextHeartbeat_, now + settings_.heartbeatInterval() * 5 / 4);
    }
    reportAge(now, actions);
    return actions;
}

ReplicaFreshnessActions ReplicaFreshness::handleRequest(const Endpoint& address, TimePoint now)
{
    ReplicaFreshnessActions actions;
    if (!isEnabled() || !confirmedAt_)
        return actions;
    WatcherHeartbeat answer = heartbeatAt(now);
    const bool hasHeardDetached = heardDetachedAt_ && now - *heardDetachedAt_ < settings_.silenceTimeout();
    answer.isDetached = isWatcher_ ? contact_.isUnreachable : hasHeardDetached;
    actions.emplace_back(SendHeartbeat { address, answer });
    return actions;
}

ReplicaFreshnessActions ReplicaFreshness::handleStoreAnswer(bool isAnswered, std::uint64_t revision, TimePoint now)
{
    ReplicaFreshnessActions actions;
    if (!isEnabled() || !confirmedAt_)
        return actions;
    noteRevision(revision, now);
    if (isAnswered) {
        confirm(revision, now);
        noteHeard(now, now);
    }
    WatcherHeartbeat heartbeat = heartbeatAt(now);
    heartbeat.isDetached = !isAnswered;
    heartbeat.hasAskedStore = true;
    sendHeartbeat(heartbeat, actions);
    endQuestion(isAnswered, now, actions);
    reportAge(now, actions);
    return actions;
}

ReplicaFreshnessActions ReplicaFreshness::tick(
    std::uint64_t revision, bool isWatcher, const StoreContact& contact, TimePoint now)
{
    ReplicaFreshnessActions actions;
    if (!isEnabled() || revision == 0)
        return actions;
    isWatcher_ = isWatcher;
    contact_ = contact;
    noteRevision(revision, now);
    if (contact.answeredAt) {
        confirm(revision, *contact.answeredAt);
        noteHeard(*contact.answeredAt, now);
    }
    if (isWatcher_) {
        // Its StoreFeed repeats its calls by itself.
        enter(State::Listening, now + settings_.silenceTimeout());
        otherZoneRequestsLeft_ = 0;
        // Nothing is known before the first answer, and a heartbeat would keep the others from asking.
        if (now >= nextHeartbeat_) {
            nextHeartbeat_ = now + settings_.heartbeatInterval();
            if (contact.answeredAt || contact.isUnreachable)
                sendHeartbeat(heartbeatAt(now), actions);
        }
    } else {
        advance(now, actions);
    }
    reportAge(now, actions);
    return actions;
}

std::optional<TimePoint> ReplicaFreshness::nextTick() const
{
    if (!isEnabled() || !confirmedAt_)
        return std::nullopt;
    if (isWatcher_)
        return nextHeartbeat_;
    const TimePoint end
        = state_ == State::Listening ? std::max(stateEnds_, heardAt_ + settings_.silenceTimeout()) : stateEnds_;
    return otherZoneRequestsLeft_ > 0 ? std::min(end, nextOtherZoneRequest_) : end;
}

void ReplicaFreshness::noteRevision(std::uint64_t revision, TimePoint now)
{
    if (!confirmedAt_) {
        // The first listing may be old, but by how much is not known. Others get the usual time to be heard.
        confirmedAt_ = now;
        heardAt_ = now;
        stateEnds_ = now;
        nextHeartbeat_ = now;
    }
    revision_ = std::max(revision_, revision);
    while (!pending_.empty() && pending_.begin()->first <= revision_) {
        confirmedAt_ = std::max(*confirmedAt_, pending_.begin()->second);
        pending_.erase(pending_.begin());
    }
}

void ReplicaFreshness::confirm(std::uint64_t revision, TimePoint at)
{
    if (revision <= revision_) {
        confirmedAt_ = std::max(*confirmedAt_, at);
        return;
    }
    const auto [row, isNew] = pending_.try_emplace(revision, at);
    row->second = std::max(row->second, at);
    if (pending_.size() > maxPending)
        pending_.erase(pending_.begin());
}

void ReplicaFreshness::noteHeard(TimePoint at, TimePoint now)
{
    heardAt_ = std::max(heardAt_, at);
    if (now - heardAt_ >= settings_.silenceTimeout())
        return;
    fruitlessRounds_ = 0;
    otherZoneRequestsLeft_ = 0;
    failedQuestions_.clear();
    // A question to the store that is under way goes on.
    if (state_ != State::AskingStore)
        enter(State::Listening, heardAt_);
}

// The others go on, since the store may reject only some. If it is down for all, they need not ask as well.
void ReplicaFreshness::noteFailedQuestion(BalancerId balancer, TimePoint now)
{
    failedQuestions_.insert(balancer);
    if (failedQuestions_.size() >= settings_.maxFailedQuestions && state_ != State::AskingStore)
        endRound(now);
}

void ReplicaFreshness::endRound(TimePoint now)
{
    failedQuestions_.clear();
    const Duration wait = settings_.silenceTimeout() * (1 << fruitlessRounds_);
    fruitlessRounds_ = std::min(fruitlessRounds_ + 1, settings_.maxDoublings);
    enter(State::Listening, now + wait);
}

void ReplicaFreshness::enter(State state, TimePoint until)
{
    state_ = state;
    stateEnds_ = until;
    if (state == State::Listening)
        askedPeers_.clear();
}

void ReplicaFreshness::advance(TimePoint now, ReplicaFreshnessActions& actions)
{
    if (otherZoneRequestsLeft_ > 0 && now >= nextOtherZoneRequest_)
        askOtherZones(now, actions);
    if (now < stateEnds_)
        return;
    switch (state_) {
    case State::Listening:
        if (now - heardAt_ < settings_.silenceTimeout())
            return;
        enter(State::AskingPeers, now + settings_.peerTimeout());
        askPeers(actions);
        // Nobody can answer.
        if (askedPeers_.empty())
            enter(State::AwaitingTurn, now);
        return;
    case State::AskingPeers:
        enter(State::AwaitingTurn, now + questionDelay());
        return;
    case State::AwaitingTurn: {
        enter(State::AskingStore, now + settings_.questionTimeout() * 2);
        actions.emplace_back(
            AskStore { std::chrono::duration_cast<std::chrono::milliseconds>(settings_.questionTimeout()) });
        return;
    }
    case State::AskingStore:
        // The store's client was busy, or has not reported the outcome.
        endQuestion(false, now, actions);
        return;
    }
}

void ReplicaFreshness::endQuestion(bool isAnswered, TimePoint now, ReplicaFreshnessActions& actions)
{
    if (state_ == State::AskingStore)
        endRound(now);
    if (isAnswered)
        return;
    otherZoneRequestsLeft_ = settings_.otherZoneRequests;
    askOtherZones(now, actions);
}

// Balancers of other zones may be about to ask the store as well, so they are asked repeatedly. Membership tells of
// their revisions too, but the fetch from another zone would then wait for a watcher of this one.
void ReplicaFreshness::askOtherZones(TimePoint now, ReplicaFreshnessActions& actions)
{
    --otherZoneRequestsLeft_;
    nextOtherZoneRequest_ = now + settings_.peerTimeout();
    if (view_)
        ask(others(false), settings_.askedOfOtherZones, actions);
}

void ReplicaFreshness::askPeers(ReplicaFreshnessActions& actions)
{
    if (view_)
        ask(othersInZone(), settings_.askedPeers, actions);
}

void ReplicaFreshness::ask(std::vector<const Member*> peers, std::size_t count, ReplicaFreshnessActions& actions)
{
    std::ranges::shuffle(peers, random_);
    peers.resize(std::min(peers.size(), count));
    for (const Member* peer : peers) {
        askedPeers_.insert(peer->id);
        actions.emplace_back(AskPeer { peer->peerAddress });
    }
}

// Few balancers get a short delay and most a long one, so that the first answers reach the others in time. With equally
// distributed delays, about 200 / (8 s / 8) * 30 ms = 6 of 200 would ask before they hear of the first answer.
Duration ReplicaFreshness::questionDelay()
{
    const double balancers = view_ ? static_cast<double>(othersInZone().size() + 1) : 1;
    if (balancers < 2)
        return Duration::zero();
    const double position = std::uniform_real_distribution<>()(random_);
    const double share = std::log1p(position * (balancers - 1)) / std::log(balancers);
    return std::chrono::duration_cast<Duration>(settings_.maxQuestionDelay() * share);
}

WatcherHeartbeat ReplicaFreshness::heartbeatAt(TimePoint now) const
{
    WatcherHeartbeat heartbeat;
    heartbeat.revision = revision_;
    heartbeat.millisecondsSinceStoreResponse = millisecondsOf(now - *confirmedAt_);
    heartbeat.isDetached = contact_.isUnreachable;
    return heartbeat;
}

void ReplicaFreshness::sendHeartbeat(WatcherHeartbeat heartbeat, ReplicaFreshnessActions& actions)
{
    if (!view_)
        return;
    const std::vector<const Member*> others = othersInZone();
    if (others.size() > settings_.maxDirectReceivers) {
        heartbeat.origin = view_->self.value;
        relay(others, heartbeat, actions);
        return;
    }
    for (const Member* member : others)
        actions.emplace_back(SendHeartbeat { member->peerAddress, heartbeat });
}

void ReplicaFreshness::relay(
    const std::vector<const Member*>& receivers, WatcherHeartbeat heartbeat, ReplicaFreshnessActions& actions)
{
    if (receivers.empty())
        return;
    for (const RelayTarget& target : relayTargets(receivers, view_->self, settings_.relayFanout, random_)) {
        heartbeat.first = target.range.first;
        heartbeat.last = target.range.last;
        actions.emplace_back(SendHeartbeat { target.member->peerAddress, heartbeat });
    }
}

std::vector<const Member*> ReplicaFreshness::others(bool isInZone) const
{
    std::vector<const Member*> others;
    for (const Member& member : view_->members) {
        const bool isOfThatZone = (member.availabilityZone == availabilityZone_) == isInZone;
        if (member.id != view_->self && isOfThatZone && member.isReachable())
            others.push_back(&member);
    }
    return others;
}

void ReplicaFreshness::reportAge(TimePoint now, ReplicaFreshnessActions& actions)
{
    const Duration age = now - *confirmedAt_;
    const Duration limit = Duration(settings_.maxStaleness) / 2;
    if (!staleSince_ && age > limit) {
        staleSince_ = now;
        const bool isDetached = heardDetachedAt_ && now - *heardDetachedAt_ < settings_.silenceTimeout();
        actions.emplace_back(ReplicaStale { age, now - heardAt_, isDetached });
    } else if (staleSince_ && age <= limit) {
        actions.emplace_back(ReplicaFresh { now - *std::exchange(staleSince_, std::nullopt) });
    }
}

}
