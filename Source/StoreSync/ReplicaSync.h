#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Identifiers.h"
#include "Membership/Member.h"
#include "StoreSync/DeltaPieces.h"
#include "StoreSync/LinkSpeed.h"
#include "StoreSync/RelayTree.h"
#include "StoreSync/StoreDelta.h"
#include "StoreSync/StoreReplica.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace wisteriadock {

struct ReplicaSyncSettings {
    // Once a balancer knows that others are ahead, how long it waits for a push before it fetches.
    std::chrono::milliseconds pushTimeout { 300 };
    // How much longer it waits before it fetches from another availability zone, whose traffic is costly. The watchers
    // of its zone fetch first and push to the others.
    std::chrono::milliseconds otherZoneDelay { 600 };
    // How long a balancer with an empty replica waits for its listing of the store before it fetches from a peer.
    std::chrono::milliseconds listingTimeout { 1500 };
    // Replaces listingTimeout while a peer that is ahead has a link faster by at least fasterPeerClasses bandwidth
    // classes (see Member.h). Three classes are a factor of 4 at least. On a link of 10 Mbit/s the store's answer with
    // 10,000 routes takes 2.3 s, and a peer's compressed one 0.2 s.
    std::chrono::milliseconds fasterPeerListingTimeout { 300 };
    int fasterPeerClasses = 3;
    // When all balancers start together, those of a zone with the fastest links, as many as have this rate together
    // (Mbit/s), read a long listing of the store, and the others fetch it from them.
    std::uint32_t readerMegabits = 400;
    // In a zone with at least this many other balancers, each fetch is delayed at random by up to maxJitter, and a
    // balancer that has fetched announces its revision to announcementFanout others. This spreads the load of the
    // watchers.
    std::size_t largeZoneSize = 12;
    std::chrono::milliseconds maxJitter { 500 };
    std::size_t announcementFanout = 4;
    // A balancer with an empty replica that asks peers requests the revisions of this many members of its zone, of
    // those with the fastest links, this often.
    std::size_t revisionRequestFanout = 3;
    std::chrono::milliseconds revisionRequestInterval { 200 };
    // Most requests that wait until this balancer has anything.
    std::size_t maxRevisionRequests = 1024;
    // A balancer that knows the servers of its zone fetches the others this much later, and up to maxJitter after that,
    // so that all others get those of their zone first.
    std::chrono::milliseconds otherZonesDelay { 200 };
    // Balancers with a slower link (Mbit/s) fetch their own zone first.
    std::uint32_t fastLinkMegabits = minFastLinkMegabits;
    // How long a fetch may go without receiving any bytes before another balancer is asked. Counted from the last
    // bytes, since large answers over slow links take long and starting over delays them further: counted from the
    // request, the last of 71 balancers on links of 10 Mbit/s learned of a leaving server after 5.2 s instead of 1 s.
    std::chrono::milliseconds answerTimeout { 800 };
    // Replaces answerTimeout until the first bytes while a balancer that has just started can't serve. The one that it
    // asks may have ended unnoticed.
    std::chrono::milliseconds startAnswerTimeout { 200 };
    // Largest datagram that is pushed, in bytes of payload. A larger delta is split and compressed, and an update
    // larger than this is fetched by the receiver.
    std::size_t maxPushBytes = 1100;
    // Most datagrams that a balancer sends for one delta. Above it only its revision is announced, and receivers fetch
    // the delta. This many keep a link of 10 Mbit/s busy for 0.35 s.
    std::size_t maxPushes = 400;
    // Up to this many datagrams are sent to their receivers directly. More would take too much of one balancer's link,
    // so they are relayed: each balancer sends them to relayFanout others, which pass them on.
    std::size_t maxDirectPushes = 64;
    std::size_t relayFanout = 4;
    // See ReplicaFreshnessSettings.
    std::chrono::milliseconds maxStaleness { 0 };
};

// Send the piece to this balancer as one datagram. If there is a relay, the receiver passes it to handleRelay(),
// otherwise to handlePush().
struct PushDelta {
    Endpoint to;
    std::shared_ptr<const DeltaPiece> piece;
    std::optional<Relay> relay {};
};

// What a fetch requests.
enum class FetchScope {
    Everything, // All changes after a revision.
    // The configuration and the servers of the availability zone, as far as the replica has them. Sent to a balancer of
    // the same zone by one with an empty replica.
    OwnZone,
};

// Request all changes after the revision, or those of the scope, from this balancer. Pass the answer to handleAnswer(),
// or call handleFetchFailure().
struct FetchDelta {
    BalancerId from;
    Endpoint address;
    std::uint64_t after = 0;
    // Which encoding of large values to request.
    StoreReplica::Encoding encoding = StoreReplica::Encoding::Full;
    FetchScope scope = FetchScope::Everything;
};

// Ask this balancer to announce its revision, at once or as soon as others can fetch from it. The receiver passes the
// message to handleRevisionRequest().
struct RequestRevision {
    Endpoint to;
};

// The replica changed. The caller applies the updates and calls handleApplied() once none are left.
struct ReplicaChanged {
    std::vector<StoreUpdate> items;
    // See StoreDelta::isInDoubt.
    bool isInDoubt = false;
    // "store", or the name of the balancer that sent the updates.
    std::string source;
    // How long this balancer had known that others were ahead; zero when it received the updates first.
    Duration lag {};
    // The replica is complete up to this revision.
    std::uint64_t revision = 0;
    // The updates have led into an era: the store was restored from an older copy and shows its content of then.
    bool entersEra = false;
};

// The replica has entered an era; for the log.
struct EraEntered {
    std::string source;
    std::uint64_t formerRevision = 0;
    std::uint64_t revision = 0;
    // Number of keys whose values have changed.
    std::size_t changes = 0;
};

// A delta was not merged; for the log.
struct DeltaRefused {
    StoreReplica::Refusal reason = StoreReplica::Refusal::OlderSnapshot;
    // As in ReplicaChanged.
    std::string source;
    // The revision that the delta leads to, and the one up to which the replica is complete.
    std::uint64_t revision = 0;
    std::uint64_t heldRevision = 0;
};

using ReplicaSyncAction
    = std::variant<PushDelta, FetchDelta, RequestRevision, ReplicaChanged, EraEntered, DeltaRefused>;
using ReplicaSyncActions = std::vector<ReplicaSyncAction>;

// Keeps a balancer's replica of the store in sync with those of the other balancers. Balancers that watch the store
// push its changes to the others of their availability zone. Membership tells every balancer the revisions of the
// others, and one that stays behind fetches a delta from one that is ahead. So changes arrive also when pushes are
// lost, when the store rejects all watchers of a zone, and when only another zone reaches the store. PeerSync calls it
// from one thread and performs the actions that it returns.
class ReplicaSync {
public:
    ReplicaSync(std::string availabilityZone, std::uint64_t seed, ReplicaSyncSettings settings = {});

    // A delta that this balancer read from the store. It is pushed to the zone if isForOthers.
    ReplicaSyncActions handleStoreDelta(const StoreDelta&, TimePoint now, bool isForOthers = true);
    // A delta that another balancer pushed.
    ReplicaSyncActions handlePush(BalancerId sender, const StoreDelta&, TimePoint now);
    // A delta that another balancer relayed. It is passed on to the range of the relay.
    ReplicaSyncActions handleRelay(const Relay&, const std::shared_ptr<const DeltaPiece>&, TimePoint now);
    // Another balancer told that it is complete up to this revision. If it was asked, nobody will push what this one
    // lacks, which is fetched from it at once.
    ReplicaSyncActions handleRevision(BalancerId sender, std::uint64_t revision, bool isAnswer, TimePoint now);
    // The outcome of the fetch in progress; sender is the name of the balancer that answered.
    ReplicaSyncActions handleAnswer(const std::string& sender, StoreDelta, TimePoint now);
    ReplicaSyncActions handleFetchFailure(TimePoint now);
    // Another balancer, at this address, has an empty replica and wants to know from whom it can fetch.
    ReplicaSyncActions handleRevisionRequest(BalancerId sender, const Endpoint&);
    // The updates of all ReplicaChanged actions so far have been applied.
    ReplicaSyncActions handleApplied();
    // Bytes of the answer to the fetch in progress arrived.
    void noteFetchProgress(TimePoint now);
    // Sets whether this balancer watches the store, and whether it cannot reach the store.
    void setRole(bool isWatcher, bool isStoreUnreachable);
    // Sets whether this balancer, while its replica is empty, fetches from others without waiting for the store.
    void setFetchesImmediately(bool fetchesImmediately) { fetchesImmediately_ = fetchesImmediately; }
    ReplicaSyncActions handleView(std::shared_ptr<const MembersView>, TimePoint now);
    ReplicaSyncActions tick(TimePoint now);

    const StoreReplica& replica() const { return replica_; }
    // Whether the replica holds what this balancer needs to serve callers of its zone: the whole store, or the answer
    // to a fetch of FetchScope::OwnZone.
    bool hasOwnZone() const { return hasOwnZone_ || replica_.completeTo() > 0; }
    // The revision up to which others can fetch from this balancer: what it has received and applied.
    std::uint64_t servedRevision() const { return hasUnappliedUpdates_ ? appliedRevision_ : replica_.completeTo(); }
    // When tick() should be called next if nothing happens before; none when there is nothing to wait for.
    std::optional<TimePoint> nextTick() const;
    // Since when others are known to be ahead of this balancer; none when nobody is.
    std::optional<TimePoint> behindSince() const { return behindSince_; }
    // When the store last sent this balancer or a watcher of its zone a fresh delta (StoreDelta::isFresh).
    TimePoint lastStoreContact() const { return lastStoreContact_; }
    // Whether others of the zone should read a listing that the store cannot send to all at once: one with a much
    // faster link (see fasterPeerClasses), or several that precede this one by link and id and have readerMegabits
    // together.
    bool knowsBetterReaders() const;
    // The highest revision that another balancer is known to have; 0 when none is known.
    std::uint64_t newestPeerRevision() const;

private:
    enum class Origin {
        Store,
        Balancer,
    };

    ReplicaSyncActions merge(const std::string& source, const StoreDelta&, Origin, TimePoint now);
    ReplicaSyncActions reportChanges(
        const std::string& source, const StoreDelta&, StoreReplica::Updates, TimePoint now);
    // The changes since the former revision that a snapshot, merged just now, has brought; the snapshot itself if this
    // replica was empty before.
    StoreDelta changesInSnapshot(const StoreDelta& snapshot, std::uint64_t formerRevision, TimePoint now) const;
    StoreDelta withoutCarriedOver(const StoreDelta&) const;
    std::optional<DeltaPieces> piecesToPush(const StoreDelta&, std::size_t receivers) const;
    void push(const StoreDelta&, ReplicaSyncActions&);
    void relay(const std::vector<const Member*>& receivers, BalancerId origin, const DeltaPieces&, ReplicaSyncActions&);
    void announce(ReplicaSyncActions&);
    std::shared_ptr<const DeltaPiece> announcement() const;
    void answerRevisionRequests(ReplicaSyncActions&);
    void requestRevisions(TimePoint now, ReplicaSyncActions&);
    FetchScope nextFetchScope(bool hasSourceInZone) const;
    Duration fetchDelay(bool hasSourceInZone) const;
    bool hasFasterPeer(const std::vector<const Member*>&) const;
    std::vector<const Member*> othersInZone() const;
    void fetchIfBehind(TimePoint now, ReplicaSyncActions&);
    std::vector<const Member*> sources(bool isInZone) const;
    const Member* chooseSource(std::vector<const Member*> members);
    // The highest revision that the member is known to have, by its pushes and by membership.
    std::uint64_t revisionOf(const Member&) const;

    const std::string availabilityZone_;
    const ReplicaSyncSettings settings_;
    std::mt19937_64 random_;
    StoreReplica replica_;
    std::shared_ptr<const MembersView> view_;
    // The revision up to which each balancer has pushed. Membership learns it later.
    std::map<BalancerId, std::uint64_t> pushedRevisions_;
    std::optional<TimePoint> behindSince_;
    TimePoint lastStoreContact_ = TimePoint::min();
    // When the fetch in progress times out.
    std::optional<TimePoint> fetchDeadline_;
    TimePoint fetchStartedAt_;
    std::optional<BalancerId> lastSource_;
    // A balancer that answered, and its revision; see handleRevision().
    BalancerId answeringPeer_;
    std::uint64_t answeredRevision_ = 0;
    // Of the fetch in progress, or the last one.
    FetchScope fetchScope_ = FetchScope::Everything;
    bool hasOwnZone_ = false;
    // Until then, the servers of other zones are not fetched.
    TimePoint otherZonesFrom_ = TimePoint::min();
    // Whether the caller still applies updates, and the revision up to which it had applied all before.
    bool hasUnappliedUpdates_ = false;
    std::uint64_t appliedRevision_ = 0;
    // Addresses of those that wait until others can fetch from this balancer.
    std::map<BalancerId, Endpoint> revisionRequests_;
    TimePoint nextRevisionRequest_ = TimePoint::min();
    // Full after an answer with patches whose base values this balancer does not hold.
    StoreReplica::Encoding fetchEncoding_ = StoreReplica::Encoding::Patched;
    bool isWatcher_ = false;
    bool isStoreUnreachable_ = false;
    bool fetchesImmediately_ = false;
    // This balancer's part of ReplicaSyncSettings::maxJitter, drawn again for each wait.
    Duration jitter_ {};
};

}
