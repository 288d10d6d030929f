#pragma once

#include "Core/Clock.h"
#include "Core/Error.h"
#include "KeyValue/PlatformCalls.h"
#include "News/StoreDelta.h"
#include "Peers/Backoff.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wisteriadock {

struct StoreFeedSettings {
    // How long the store holds a watch open. Short enough that a connection which went silent is noticed well before
    // news is due everywhere; each second of it saves half a call a second in a zone.
    std::chrono::milliseconds watchDuration { 2500 };
    // How much longer an answer may take than the store was asked to wait, and how long any other answer may take.
    std::chrono::milliseconds answerTimeout { 700 };
    std::chrono::milliseconds listTimeout { 1500 };
    // Pause after news, so that a series of changes costs one call and not one for each.
    std::chrono::milliseconds batchDelay { 300 };
    // Between two tries while the store does not answer.
    std::chrono::milliseconds minBackoff { 150 };
    std::chrono::milliseconds maxBackoff { 1000 };
    // A watch that has not answered this long after others had the news is taken for silent.
    std::chrono::milliseconds unresponsiveAfter { 700 };
    // For how long after an outage vanished entries are doubtful.
    std::chrono::milliseconds doubtAfterOutage { 5000 };
    // How long entries take to come back that vanished with an outage (the store's operators promise two seconds). When
    // some vanished, the store is asked again after it: only what is missing then is certainly gone.
    std::chrono::milliseconds reregistrationTime { 2000 };
    // The shortest wait of that question.
    std::chrono::milliseconds minWatchDuration { 50 };
    // The oldest that a listing is taken to be.
    std::chrono::milliseconds maxListingAge { 15000 };
    // A first listing is looked at so long after it was sent. If it comes at less than half the pace of this balancer's
    // own link, so that the store's link holds it up, and more than leaveWhenLeft is to come at that pace, it is left
    // to others, and neighbours are asked for what it holds.
    std::chrono::milliseconds listingCheckDelay { 150 };
    std::chrono::milliseconds minRemainingToCancel { 500 };
    // A balancer whose own link would carry the listing within this time stays with it, and where no wider neighbour is
    // known, one of so many others: the neighbours need somebody to ask.
    std::chrono::milliseconds fastLinkListingTime { 250 };
    std::uint32_t keepListingOneIn = 8;
    // How long neighbours are asked before the store is asked once more, for everything and to the end.
    std::chrono::milliseconds peersTimeout { 2000 };
    // What this balancer's link carries; 0 when nothing says so, which counts as wide.
    std::uint32_t linkMegabits = 0;
    // So many entries that vanish at once are taken for the work of an outage that this balancer did not see.
    std::size_t massRemovalThreshold = 3;
};

// Read a page of everything; give the outcome to handlePage().
struct SendList {
    ListCall call;
    std::chrono::milliseconds timeout { 0 };
};

// Wait for changes; give the outcome to handleChanges() with the same number.
struct SendWatch {
    ChangesCall call;
    std::chrono::milliseconds timeout { 0 };
    std::uint64_t number = 0;
};

// Give the listing in progress up; its outcome does not count.
struct CancelListing { };

// News for ReplicaSync::handleStoreDelta().
struct DeltaReceived {
    StoreDelta delta;
    // False where this balancer asked for itself only: others of its zone do so too, and all telling all would fill
    // their links.
    bool isForOthers = true;
};

// The store stopped answering this balancer, or does so again.
struct StoreUnreachable {
    Error error;
};
struct StoreReachable {
    Duration outage { 0 };
};

using StoreFeedAction
    = std::variant<SendList, SendWatch, CancelListing, DeltaReceived, StoreUnreachable, StoreReachable>;
using StoreFeedActions = std::vector<StoreFeedAction>;

// Keeps a balancer informed by the platform's store: one listing at the start, and then watches, if this balancer is
// among those that watch. Any answer may be lost, late or refused to this balancer only, and any connection may go
// silent for good, so every call has a time limit and another one follows after a pause.
class StoreFeed {
public:
    StoreFeed(std::uint64_t seed, StoreFeedSettings settings = {});

    StoreFeedActions start(TimePoint now);
    StoreFeedActions handlePage(const Result<PlatformPage>&, TimePoint now);
    // Of the page in progress so many bytes have come; somebody is known whose link is much wider, and who stays with
    // the listing. When all of a fleet start together, they share the store's link, so that a long listing takes
    // seconds however wide their own links are, and callers wait.
    StoreFeedActions handlePageProgress(
        std::uint64_t received, std::uint64_t total, bool knowsFasterPeer, TimePoint now);
    StoreFeedActions handleChanges(std::uint64_t number, const Result<PlatformChanges>&, TimePoint now);
    // What the process knows, from whatever source, and whether it shall watch.
    StoreFeedActions update(
        std::uint64_t completeTo, bool isWatcher, std::optional<TimePoint> behindSince, TimePoint now);
    StoreFeedActions tick(TimePoint now);
    // Packets show that the listing of the start, which may be seconds old, lacks something, such as servers that came
    // back after a cut. Asks the store once what has changed since then. Of no effect when this was done, when this
    // balancer watches anyway, and when the start is longer ago than listings are old.
    StoreFeedActions noteContradiction(TimePoint now);
    // When tick() should be called next; none when there is nothing to wait for.
    std::optional<TimePoint> nextTick() const { return pauseUntil_; }

    bool isUnreachable() const { return unreachableSince_.has_value(); }
    bool isWatching() const { return state_ == State::Watching; }
    // The first listing was left to others, and nothing is known yet: neighbours are to be asked at once.
    bool asksPeers() const { return hasCancelledListing_ && completeTo_ == 0; }
    // Vanished entries may be back soon.
    bool hadRecentOutage(TimePoint now) const;

private:
    enum class State {
        Idle, // Others watch.
        Listing,
        Watching,
        PausingBeforeList,
        PausingBeforeWatch,
    };

    // A watch that was replaced before it was answered.
    struct ReplacedWatch {
        std::uint64_t number = 0;
        std::uint64_t revision = 0;
    };

    void list(TimePoint now, StoreFeedActions&);
    bool keepsListing(std::uint64_t bytes, bool knowsFasterPeer) const;
    std::uint64_t linkBytes(Duration) const;
    void watch(TimePoint now, StoreFeedActions&);
    void watch(std::chrono::milliseconds wait, TimePoint now, StoreFeedActions&);
    bool isUnresponsive(std::optional<TimePoint> behindSince, TimePoint now) const;
    StoreDelta deltaOf(const PlatformChanges&, std::uint64_t from, TimePoint now);
    StoreFeedActions handleLateAnswer(std::uint64_t number, const Result<PlatformChanges>&, TimePoint now);
    std::chrono::milliseconds nextWatchDuration(TimePoint now) const;
    void pause(State, std::chrono::milliseconds, TimePoint now);
    void noteFailure(const Error&, TimePoint now, StoreFeedActions&);
    void noteSuccess(TimePoint now, StoreFeedActions&);

    const StoreFeedSettings settings_;
    Backoff backoff_;
    State state_ = State::Idle;
    bool isWatcher_ = false;
    std::uint64_t completeTo_ = 0;
    std::uint64_t watchNumber_ = 0;
    TimePoint watchedSince_;
    // What the watch waits beyond, and since when others are known to have told more than that.
    std::uint64_t watchedRevision_ = 0;
    std::optional<TimePoint> supersededSince_;
    std::optional<ReplacedWatch> replacedWatch_;
    std::optional<TimePoint> pauseUntil_;
    std::optional<TimePoint> unreachableSince_;
    TimePoint doubtUntil_ = TimePoint::min();
    // From when on an answer of the store shows what is certainly gone.
    TimePoint freshFrom_ = TimePoint::min();
    // When the store is to be asked whether entries that vanished in doubt are back; none when none did.
    std::optional<TimePoint> confirmAt_;
    // The pages of the listing in progress.
    std::vector<StoreUpdate> listed_;
    std::optional<std::uint64_t> listRevision_;
    // A first reading may be old, since there is nothing yet that it could take back.
    bool mayListStale_ = true;
    TimePoint pageSentAt_;
    // Whether this balancer is among those that stay with a long listing, by chance.
    const bool keepsListingByChance_;
    bool hasCancelledListing_ = false;
    // When the listing that may be old came; none after it was checked.
    std::optional<TimePoint> staleListingAt_;
    // The watch in progress is the check of that listing.
    bool isCheckingListing_ = false;
};

}
