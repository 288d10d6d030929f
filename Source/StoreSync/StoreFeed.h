#pragma once

#include "Core/Clock.h"
#include "Core/Error.h"
#include "KeyValue/PlatformCalls.h"
#include "Peers/Backoff.h"
#include "StoreSync/LinkSpeed.h"
#include "StoreSync/StoreDelta.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wisteriadock {

// Whether other balancers should read a long first listing of the store for this one; see
// ReplicaSync::knowsBetterReaders().
enum class BetterReaders {
    Unknown, // No other balancer is known yet.
    None,
    Known,
};

struct StoreFeedSettings {
    // How long the store holds a watch open. A shorter time finds a dead connection sooner and costs more calls.
    std::chrono::milliseconds watchDuration { 2500 };
    // How much longer than its duration the answer to a watch may take.
    std::chrono::milliseconds answerTimeout { 700 };
    // How long the answer to a listing may take.
    std::chrono::milliseconds listTimeout { 1500 };
    // Pause after a watch that returned changes, so that a series of changes costs a single call.
    std::chrono::milliseconds batchDelay { 300 };
    // Bounds of the pause between two calls while the store does not answer.
    std::chrono::milliseconds minBackoff { 150 };
    std::chrono::milliseconds maxBackoff { 1000 };
    // A watch that has not answered this long after others received changes counts as unresponsive.
    std::chrono::milliseconds unresponsiveAfter { 700 };
    // For how long after an outage of the store removed entries are in doubt.
    std::chrono::milliseconds doubtAfterOutage { 5000 };
    // How long entries that lapsed in an outage take to be registered again. After this time the store is asked once
    // more, and entries that are still missing then are removed for certain.
    std::chrono::milliseconds reregistrationTime { 2000 };
    // Pause after a listing that lacks what others have told, since watches from there fail as well.
    std::chrono::milliseconds listedLessDelay { 1000 };
    // Shortest duration of a watch, also of the one that asks whether entries are registered again.
    std::chrono::milliseconds minWatchDuration { 50 };
    // How old a stale listing can be at most.
    std::chrono::milliseconds maxListingAge { 15000 };
    // A balancer with a slow link (see LinkSpeed.h) asks others first and lists the store only if it meets nobody
    // within readerSearchTime, if it meets none that should read it (see BetterReaders), or if those have not read it
    // within readerWaitTime. The answers to hundreds of them would delay those to the readers, even if cancelled.
    std::uint32_t fastLinkMegabits = minFastLinkMegabits;
    std::chrono::milliseconds readerSearchTime { 100 };
    std::chrono::milliseconds readerWaitTime { 1000 };
    // The balancers that it contacts first may start later than the others. If it has met nobody after sampleDelay, it
    // requests the entries after this key, about one in a thousand. If these are at most maxSmallSample, the store has
    // a page or two, which it can send to all, and is listed at once. If there are more, others are looked for until
    // largeStoreSearchTime. Without a key no sample is requested.
    std::string sampleStart;
    std::chrono::milliseconds sampleDelay { 10 };
    std::size_t maxSmallSample = 1;
    std::chrono::milliseconds largeStoreSearchTime { 500 };
    // The progress of the first listing is checked this long after the request. If it arrives at less than half the
    // rate of this balancer's own link, because the store's link is the bottleneck, and would take longer than
    // minRemainingToCancel to complete, it is cancelled and its content fetched from peers. Where better readers are
    // known, a listing of several pages is left to them after its first page.
    std::chrono::milliseconds listingCheckDelay { 150 };
    std::chrono::milliseconds minRemainingToCancel { 500 };
    // While no better readers are known, a balancer whose own link carries the page in progress within this time
    // completes the listing, and so does one in keepListingOneIn, chosen at random, so that others can fetch it from a
    // peer.
    std::chrono::milliseconds fastLinkListingTime { 250 };
    std::uint32_t keepListingOneIn = 8;
    // How long peers are asked before the store is listed again, and how many listings are cancelled at most.
    std::chrono::milliseconds peersTimeout { 2000 };
    std::uint32_t maxCancelledListings = 3;
    // Bandwidth of this balancer's link in Mbit/s; 0 when unknown, which counts as fast.
    std::uint32_t linkMegabits = 0;
    // A watch that follows no answer of the store, as the first one and the one after an outage, is answered at once,
    // so that this balancer can tell others how old its view is.
    bool confirmsAtOnce = false;
    // When at least this many entries are removed at once, the removals are in doubt: they may result from an outage
    // that this balancer did not notice.
    std::size_t massRemovalThreshold = 3;
};

// Request a page of the listing. Pass the outcome to handlePage().
struct SendList {
    ListCall call;
    std::chrono::milliseconds timeout { 0 };
};

// Request the changes after a revision, which the store answers once there are any. Pass the outcome to handleChanges()
// with the same number.
struct SendWatch {
    ChangesCall call;
    std::chrono::milliseconds timeout { 0 };
    std::uint64_t number = 0;
};

// Request the entries after a key. Pass the outcome to handleSample().
struct SendSample {
    ListCall call;
    std::chrono::milliseconds timeout { 0 };
};

// Cancel the listing or the sample in progress. Its outcome is ignored.
struct CancelListing { };

// The store sent a delta. Pass it to ReplicaSync::handleStoreDelta().
struct DeltaReceived {
    StoreDelta delta;
    // False for a check that each balancer of a zone may make at the same time; pushing its result from each of them
    // would fill their links.
    bool isForOthers = true;
};

// A listing has ended, for the log.
struct ListingEnded {
    // Pages and entries that arrived, and the time since the request for the first page.
    std::uint32_t pages = 0;
    std::size_t entries = 0;
    Duration took {};
    // False if the rest is left to peers.
    bool isComplete = true;
    // The lowest revision of the pages, the era of the store, and the revision that this balancer has.
    std::uint64_t revision = 0;
    std::uint64_t era = 0;
    std::uint64_t heldRevision = 0;
};

// An answer shows that the store was restored from an older copy.
struct StoreEraChanged {
    std::uint64_t formerEra = 0;
    std::uint64_t era = 0;
    // The revision of the store, and the one that this balancer has.
    std::uint64_t revision = 0;
    std::uint64_t heldRevision = 0;
};

// The outcome of StoreFeed::askForChanges(), after its DeltaReceived.
struct StoreAsked {
    bool isAnswered = false;
};

// The store stopped answering this balancer.
struct StoreUnreachable {
    Error error;
};

// The store answers this balancer again.
struct StoreReachable {
    Duration outage { 0 };
};

using StoreFeedAction = std::variant<SendList, SendWatch, SendSample, CancelListing, DeltaReceived, ListingEnded,
    StoreEraChanged, StoreAsked, StoreUnreachable, StoreReachable>;
using StoreFeedActions = std::vector<StoreFeedAction>;

// Reads the platform's key-value store: lists it once at the start and then, on balancers that are watchers of their
// zone, watches it for changes. StoreFeedDriver calls it and performs the actions that it returns. Answers may be lost,
// late or refused to this balancer alone, and connections may stop answering without being closed, so every call has a
// timeout and is repeated after a pause.
class StoreFeed {
public:
    StoreFeed(std::uint64_t seed, const StoreFeedSettings& settings = {});

    StoreFeedActions start(TimePoint now);
    // The outcome of SendList.
    StoreFeedActions handlePage(const Result<PlatformPage>&, TimePoint now);
    // The outcome of SendSample.
    StoreFeedActions handleSample(const Result<PlatformPage>&, TimePoint now);
    // Bytes of the page in progress. Decides whether to cancel a slow first listing: when many balancers start
    // together, they share the bandwidth of the store's link.
    StoreFeedActions handlePageProgress(std::uint64_t received, std::uint64_t total, TimePoint now);
    void setBetterReaders(BetterReaders betterReaders) { betterReaders_ = betterReaders; }
    // Whether this balancer has just started and waits for others before it lists the store.
    bool isAwaitingReaders() const { return isAwaitingReaders_; }
    // The outcome of the SendWatch with this number.
    StoreFeedActions handleChanges(std::uint64_t number, const Result<PlatformChanges>&, TimePoint now);
    // Must be called regularly with the revision up to which the replica is complete, whether this balancer is to watch
    // the store, and since when others are known to be ahead.
    StoreFeedActions update(
        std::uint64_t completeTo, bool isWatcher, std::optional<TimePoint> behindSince, TimePoint now);
    StoreFeedActions tick(TimePoint now);
    // Received packets show that the first listing, which may be stale, lacks entries, such as servers that registered
    // again after a partition. Asks the store once for the changes since then. Has no effect when that was done, when
    // this balancer watches anyway, and when the listing is older than maxListingAge.
    StoreFeedActions noteContradiction(TimePoint now);
    // Asks the store once for the changes since this balancer's revision, on behalf of its zone. Has no effect while a
    // call is under way or due.
    StoreFeedActions askForChanges(std::chrono::milliseconds timeout, TimePoint now);
    // When the store last answered that this balancer has everything; now while a watch that follows such an answer is
    // open. None before the first answer that can't be stale.
    std::optional<TimePoint> answeredAt(TimePoint now) const;
    // When tick() should be called next; none when there is nothing to wait for.
    std::optional<TimePoint> nextTick() const { return pauseUntil_; }

    bool isUnreachable() const { return unreachableSince_.has_value(); }
    bool isWatching() const { return state_ == State::Watching; }
    // The era of the store's last answer.
    std::uint64_t era() const { return era_.value_or(0); }
    // The first listing is left to others and the replica is still empty, so peers are to be asked at once.
    bool asksPeers() const { return (isAwaitingReaders_ || cancelledListings_ > 0) && completeTo_ == 0; }
    // Whether the store is unreachable or was until recently, so removed entries may be registered again soon.
    bool hadRecentOutage(TimePoint now) const;

private:
    enum class State {
        Idle, // This balancer does not watch the store.
        Listing,
        Watching,
        PausingBeforeList,
        PausingBeforeWatch,
    };

    // What a sample says about the size of the store.
    enum class Sample {
        NotRequested,
        Requested,
        Failed,
        SmallStore,
        LargeStore,
    };

    // A watch that was replaced before it was answered.
    struct ReplacedWatch {
        std::uint64_t number = 0;
        std::uint64_t revision = 0;
    };

    static StoreUpdate updateOf(const PlatformItem&, std::uint64_t era);
    void awaitReaders(TimePoint now, StoreFeedActions&);
    void requestSample(StoreFeedActions&);
    bool needsSample(TimePoint now) const;
    std::chrono::milliseconds searchLimit() const;
    bool knowsBetterReaders() const { return betterReaders_ == BetterReaders::Known; }
    void list(TimePoint now, StoreFeedActions&);
    bool needsListing() const;
    void abandonListing(TimePoint now, StoreFeedActions&);
    bool mayCancelListing() const;
    void leaveListingToPeers(TimePoint now, StoreFeedActions&);
    ListingEnded listingEnded(bool isComplete, TimePoint now) const;
    bool keepsListing(std::uint64_t bytes) const;
    std::uint64_t linkBytes(Duration) const;
    void watch(TimePoint now, StoreFeedActions&);
    void watch(std::chrono::milliseconds wait, TimePoint now, StoreFeedActions&);
    void watch(std::chrono::milliseconds wait, std::chrono::milliseconds timeout, TimePoint now, StoreFeedActions&);
    void reportOutcome(bool isAnswered, StoreFeedActions&);
    bool isUnresponsive(std::optional<TimePoint> behindSince, TimePoint now) const;
    StoreDelta deltaOf(const PlatformChanges&, std::uint64_t from, TimePoint now);
    StoreFeedActions handleLateAnswer(std::uint64_t number, const Result<PlatformChanges>&, TimePoint now);
    std::chrono::milliseconds nextWatchDuration(TimePoint now) const;
    void pause(State, std::chrono::milliseconds, TimePoint now);
    void noteEra(std::uint64_t era, std::uint64_t revision, TimePoint now, StoreFeedActions&);
    bool isOfWatchedEra(const PlatformChanges&) const;
    StoreFeedActions handleRestoredStore(const PlatformChanges&, TimePoint now);
    void restartListing(TimePoint now, StoreFeedActions&);
    void watchAfterListing(bool hasListedLess, TimePoint now, StoreFeedActions&);
    void noteFailure(const Error&, TimePoint now, StoreFeedActions&);
    void noteSuccess(TimePoint now, StoreFeedActions&);
    void confirmLater(TimePoint now);

    const StoreFeedSettings settings_;
    Backoff backoff_;
    State state_ = State::Idle;
    bool isWatcher_ = false;
    std::uint64_t completeTo_ = 0;
    // The era of the store's last answer; none before the first.
    std::optional<std::uint64_t> era_;
    std::uint64_t watchNumber_ = 0;
    TimePoint watchedSince_;
    // The revision after which the watch waits for changes, and since when the replica is ahead of it by deltas of
    // other balancers.
    std::uint64_t watchedRevision_ = 0;
    std::optional<TimePoint> supersededSince_;
    std::optional<ReplacedWatch> replacedWatch_;
    std::optional<TimePoint> pauseUntil_;
    std::optional<TimePoint> unreachableSince_;
    TimePoint doubtUntil_ = TimePoint::min();
    // From when on an answer of the store counts as fresh (StoreDelta::isFresh).
    TimePoint freshFrom_ = TimePoint::min();
    // When to ask the store whether entries whose removal is in doubt are registered again; none when there are none.
    std::optional<TimePoint> confirmAt_;
    // Entries of the listing in progress, and the revision up to which its pages are complete.
    std::vector<StoreUpdate> listed_;
    std::optional<std::uint64_t> listRevision_;
    // Only the first listing may be stale: it can't replace anything newer.
    bool mayListStale_ = true;
    TimePoint pageSentAt_;
    TimePoint listingStartedAt_;
    std::uint32_t pagesReceived_ = 0;
    // Whether this balancer is one of those chosen at random to complete a slow listing.
    const bool keepsListingByChance_;
    std::uint32_t cancelledListings_ = 0;
    BetterReaders betterReaders_ = BetterReaders::Unknown;
    bool knowsPeersAhead_ = false;
    bool isAwaitingReaders_ = false;
    TimePoint startedAt_;
    Sample sample_ = Sample::NotRequested;
    // When a listing that may be stale arrived; none after it was checked.
    std::optional<TimePoint> staleListingAt_;
    // The watch in progress checks that listing.
    bool isCheckingListing_ = false;
    // The call in progress is that of askForChanges().
    bool isAsking_ = false;
    std::optional<TimePoint> answeredAt_;
    // Whether the watch in progress, or the next one, follows an answer without a gap.
    bool followsAnswer_ = false;
};

}
