#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Identifiers.h"
#include "Membership/Member.h"
#include "StoreSync/WatcherHeartbeat.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace wisteriadock {

struct ReplicaFreshnessSettings {
    // The bound: how old a balancer's view of the store may become. 0 disables everything but relaying.
    std::chrono::milliseconds maxStaleness { 0 };
    // Up to this many receivers get a heartbeat directly, more through a relay tree.
    std::size_t maxDirectReceivers = 64;
    std::size_t relayFanout = 4;
    // How many peers are asked when no heartbeat arrives.
    std::size_t askedPeers = 2;
    // After so many balancers of the zone have asked the store in vain, the others assume that it is down for all. With
    // 8, a store that rejects a third of the balancers is taken for one that is down in one of 6,561 cases.
    std::size_t maxFailedQuestions = 8;
    // A balancer that the store does not answer asks up to this many balancers of other zones, this often, as those of
    // its own zone may be lost or rejected as well.
    std::size_t askedOfOtherZones = 8;
    int otherZoneRequests = 4;
    // The wait between two rounds in which the store does not answer doubles this often.
    int maxDoublings = 3;

    Duration heartbeatInterval() const { return Duration(maxStaleness) / 6; }
    Duration silenceTimeout() const { return Duration(maxStaleness) / 3; }
    Duration peerTimeout() const { return Duration(maxStaleness) / 12; }
    Duration maxQuestionDelay() const { return Duration(maxStaleness) / 8; }
    // After it a question to the store counts as unanswered.
    Duration questionTimeout() const { return Duration(maxStaleness) / 12; }
};

// What a balancer's StoreFeed knows of the store.
struct StoreContact {
    // When the store last told this balancer that it has everything; an open watch counts as an answer. None before the
    // first answer that can't be stale.
    std::optional<TimePoint> answeredAt;
    bool isUnreachable = false;
};

// Send the message as PeerMessageKind::WatcherHeartbeat.
struct SendHeartbeat {
    Endpoint to;
    WatcherHeartbeat heartbeat;
};

// Send a RevisionRequest with a StalenessRequest. The answer is passed to handleHeartbeat().
struct AskPeer {
    Endpoint to;
};

// Ask the store for the changes since this balancer's revision, within the time, and call handleStoreAnswer().
struct AskStore {
    std::chrono::milliseconds timeout;
};

// Pass it to ReplicaSync::handleRevision().
struct RevisionHeard {
    BalancerId sender;
    std::uint64_t revision = 0;
    // The sender was asked, so nothing will be pushed.
    bool isAnswer = false;
};

// For the log: the view is older than half of the bound.
struct ReplicaStale {
    Duration age {};
    Duration sinceHeartbeat {};
    bool isWatcherDetached = false;
};

// For the log: a view that was stale is current again.
struct ReplicaFresh {
    Duration staleFor {};
};

using ReplicaFreshnessAction
    = std::variant<SendHeartbeat, AskPeer, AskStore, RevisionHeard, ReplicaStale, ReplicaFresh>;
using ReplicaFreshnessActions = std::vector<ReplicaFreshnessAction>;

// Tells how old a balancer's view of the store is, and asks others when it may grow too old. Watchers send heartbeats.
// A balancer that hears none asks peers of its zone and then the store, at a random time, and tells its zone, so that
// few balancers ask. Membership replaces a lost watcher too, but detects it only after seconds. PeerSync calls it and
// performs the actions that it returns.
class ReplicaFreshness {
public:
    ReplicaFreshness(std::string availabilityZone, std::uint64_t seed, ReplicaFreshnessSettings settings);

    void handleView(std::shared_ptr<const MembersView> view) { view_ = std::move(view); }
    ReplicaFreshnessActions handleHeartbeat(BalancerId sender, const WatcherHeartbeat&, TimePoint now);
    // Another balancer at this address asks how old this one's view is.
    ReplicaFreshnessActions handleRequest(const Endpoint&, TimePoint now);
    // The outcome of AskStore, after the changes have been merged into the replica of this revision.
    ReplicaFreshnessActions handleStoreAnswer(bool isAnswered, std::uint64_t revision, TimePoint now);
    // Must be called regularly, with the revision up to which the replica is complete and whether this balancer watches
    // the store.
    ReplicaFreshnessActions tick(std::uint64_t revision, bool isWatcher, const StoreContact&, TimePoint now);

    bool isEnabled() const { return settings_.maxStaleness.count() > 0; }
    // How old the view is; none while it is empty, or if the bound is 0.
    std::optional<Duration> age(TimePoint now) const;
    // When tick() should be called next; none when there is nothing to wait for.
    std::optional<TimePoint> nextTick() const;

private:
    enum class State {
        Listening,
        AskingPeers,
        AwaitingTurn, // Waits for a random time, in which another balancer may ask the store.
        AskingStore,
    };

    void noteRevision(std::uint64_t revision, TimePoint now);
    void confirm(std::uint64_t revision, TimePoint at);
    void noteHeard(TimePoint at, TimePoint now);
    void noteFailedQuestion(BalancerId, TimePoint now);
    void endRound(TimePoint now);
    void enter(State, TimePoint until);
    void advance(TimePoint now, ReplicaFreshnessActions&);
    void askPeers(ReplicaFreshnessActions&);
    void endQuestion(bool isAnswered, TimePoint now, ReplicaFreshnessActions&);
    void askOtherZones(TimePoint now, ReplicaFreshnessActions&);
    void ask(std::vector<const Member*> peers, std::size_t count, ReplicaFreshnessActions&);
    Duration questionDelay();
    void sendHeartbeat(WatcherHeartbeat, ReplicaFreshnessActions&);
    void relay(const std::vector<const Member*>& receivers, WatcherHeartbeat, ReplicaFreshnessActions&);
    WatcherHeartbeat heartbeatAt(TimePoint now) const;
    std::vector<const Member*> othersInZone() const { return others(true); }
    std::vector<const Member*> others(bool isInZone) const;
    void reportAge(TimePoint now, ReplicaFreshnessActions&);

    const std::string availabilityZone_;
    const ReplicaFreshnessSettings settings_;
    std::mt19937_64 random_;
    std::shared_ptr<const MembersView> view_;
    std::uint64_t revision_ = 0;
    bool isWatcher_ = false;
    StoreContact contact_;
    // The latest time as of which the view is known to have lacked nothing; the time at which there was a view, at
    // first.
    std::optional<TimePoint> confirmedAt_;
    // Confirmations of revisions that the replica has not reached, with their times.
    std::map<std::uint64_t, TimePoint> pending_;
    // When a watcher, or a balancer that had asked the store, was last heard, here or by a peer that was asked.
    TimePoint heardAt_;
    // When a detached watcher was last heard here.
    std::optional<TimePoint> heardDetachedAt_;
    State state_ = State::Listening;
    // When the state ends; for Listening the earliest time for the next round.
    TimePoint stateEnds_;
    std::set<BalancerId> askedPeers_;
    std::set<BalancerId> failedQuestions_;
    int fruitlessRounds_ = 0;
    int otherZoneRequestsLeft_ = 0;
    TimePoint nextOtherZoneRequest_;
    TimePoint nextHeartbeat_;
    std::optional<TimePoint> staleSince_;
};

}
