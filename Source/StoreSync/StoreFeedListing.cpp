// StoreFeed: listings of the store and the start.
#include "StoreSync/StoreFeed.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

StoreFeedActions StoreFeed::start(TimePoint now)
{
    StoreFeedActions actions;
    startedAt_ = now;
    listingStartedAt_ = now;
    isAwaitingReaders_ = isSlowLink(settings_.linkMegabits, settings_.fastLinkMegabits);
    if (isAwaitingReaders_)
        pause(State::PausingBeforeList, settings_.readerSearchTime, now);
    else
        list(now, actions);
    return actions;
}

void StoreFeed::awaitReaders(TimePoint now, StoreFeedActions& actions)
{
    const bool shallList = betterReaders_ == BetterReaders::None || sample_ == Sample::SmallStore;
    const bool isOver = shallList || now - startedAt_ >= searchLimit();
    if (completeTo_ == 0 && !knowsPeersAhead_ && !isOver) {
        if (needsSample(now))
            requestSample(actions);
        return;
    }
    isAwaitingReaders_ = false;
    if (sample_ == Sample::Requested)
        actions.emplace_back(CancelListing {});
    if (completeTo_ > 0)
        abandonListing(now, actions);
    else if (knowsPeersAhead_)
        leaveListingToPeers(now, actions);
    else
        list(now, actions);
}

bool StoreFeed::needsSample(TimePoint now) const
{
    const bool isMissing = sample_ == Sample::NotRequested && !settings_.sampleStart.empty();
    return isMissing && betterReaders_ == BetterReaders::Unknown && now - startedAt_ >= settings_.sampleDelay;
}

void StoreFeed::requestSample(StoreFeedActions& actions)
{
    sample_ = Sample::Requested;
    actions.emplace_back(SendSample { { "", settings_.sampleStart, true }, settings_.listTimeout });
}

std::chrono::milliseconds StoreFeed::searchLimit() const
{
    if (knowsBetterReaders())
        return settings_.readerWaitTime;
    return sample_ == Sample::LargeStore ? settings_.largeStoreSearchTime : settings_.readerSearchTime;
}

StoreFeedActions StoreFeed::handleSample(const Result<PlatformPage>& sample, TimePoint now)
{
    StoreFeedActions actions;
    if (!isAwaitingReaders_)
        return actions;
    const bool isSmall = sample && !sample.value().hasMore && sample.value().items.size() <= settings_.maxSmallSample;
    const Sample size = isSmall ? Sample::SmallStore : Sample::LargeStore;
    sample_ = sample ? size : Sample::Failed;
    awaitReaders(now, actions);
    return actions;
}

void StoreFeed::list(TimePoint now, StoreFeedActions& actions)
{
    state_ = State::Listing;
    pageSentAt_ = now;
    pauseUntil_.reset();
    if (!listRevision_) {
        listed_.clear();
        listingStartedAt_ = now;
        pagesReceived_ = 0;
    }
    const std::string after = listed_.empty() ? std::string() : listed_.back().key;
    actions.emplace_back(SendList { { "", after, mayListStale_ }, settings_.listTimeout });
}

StoreFeedActions StoreFeed::handlePage(const Result<PlatformPage>& page, TimePoint now)
{
    StoreFeedActions actions;
    if (state_ != State::Listing)
        return actions;
    if (!page) {
        noteFailure(page.error(), now, actions);
        listRevision_.reset();
        pause(State::PausingBeforeList, backoff_.next(), now);
        reportOutcome(false, actions);
        return actions;
    }
    noteSuccess(now, actions);
    noteEra(page.value().era, page.value().revision, now, actions);
    if (listRevision_ && eraOf(*listRevision_) != page.value().era) {
        restartListing(now, actions);
        return actions;
    }
    // The pages are read one after the other. Pages that may be stale come from copies of different ages, so together
    // they are complete only up to the lowest revision. Later pages of any other listing are never older than the first
    // one. Changes after that revision are returned by the watch that starts there, or come from other balancers.
    const std::uint64_t revision = revisionInEra(page.value().era, page.value().revision);
    listRevision_ = std::min(listRevision_.value_or(revision), revision);
    ++pagesReceived_;
    for (const PlatformItem& item : page.value().items)
        listed_.push_back(updateOf(item, page.value().era));
    if (page.value().hasMore && !page.value().items.empty()) {
        if (!needsListing())
            abandonListing(now, actions);
        else if (knowsBetterReaders() && mayCancelListing())
            leaveListingToPeers(now, actions);
        else
            list(now, actions);
        return actions;
    }
    const ListingEnded ended = listingEnded(true, now);
    StoreDelta delta { 0, *listRevision_, true, hadRecentOutage(now), std::move(listed_) };
    delta.isFresh = !mayListStale_ && now >= freshFrom_;
    const bool hasListedLess = !mayListStale_ && delta.to < completeTo_;
    if (delta.isInDoubt)
        confirmAt_ = now + settings_.reregistrationTime;
    completeTo_ = std::max(completeTo_, delta.to);
    listed_.clear();
    listRevision_.reset();
    staleListingAt_ = mayListStale_ ? std::optional(now) : std::nullopt;
    const bool isFresh = !mayListStale_;
    mayListStale_ = false;
    // Pages after the first may lack changes made meanwhile, which only the watch from the first page's revision
    // returns.
    if (isFresh)
        answeredAt_ = listingStartedAt_;
    actions.emplace_back(DeltaReceived { std::move(delta) });
    actions.emplace_back(ended);
    reportOutcome(isFresh, actions);
    watchAfterListing(hasListedLess, now, actions);
    return actions;
}

// Pages of a listing that were read before and after the store was restored belong to different copies.
void StoreFeed::restartListing(TimePoint now, StoreFeedActions& actions)
{
    listRevision_.reset();
    mayListStale_ = false;
    list(now, actions);
}

// The store may not have reached the revision yet that this balancer has, and refuse to watch from there. Listing it
// again at once would go on in a loop.
void StoreFeed::watchAfterListing(bool hasListedLess, TimePoint now, StoreFeedActions& actions)
{
    state_ = State::Idle;
    if (!isWatcher_)
        return;
    if (hasListedLess)
        pause(State::PausingBeforeWatch, settings_.listedLessDelay, now);
    else
        watch(now, actions);
}

// Other balancers may have sent everything while the store was slow or did not answer.
bool StoreFeed::needsListing() const { return completeTo_ == 0 || !mayListStale_; }

void StoreFeed::abandonListing(TimePoint now, StoreFeedActions& actions)
{
    actions.emplace_back(listingEnded(false, now));
    listed_ = {};
    listRevision_.reset();
    state_ = State::Idle;
    if (isWatcher_)
        watch(now, actions);
}

StoreFeedActions StoreFeed::handlePageProgress(std::uint64_t received, std::uint64_t total, TimePoint now)
{
    StoreFeedActions actions;
    const Duration elapsed = now - pageSentAt_;
    const bool isSlow = received < linkBytes(elapsed / 2);
    if (!mayCancelListing() || elapsed < settings_.listingCheckDelay || !isSlow || keepsListing(total))
        return actions;
    const double remaining
        = static_cast<double>(total - received) / static_cast<double>(std::max<std::uint64_t>(received, 1));
    if (remaining * elapsed <= Duration(settings_.minRemainingToCancel))
        return actions;
    leaveListingToPeers(now, actions);
    actions.emplace_back(CancelListing {});
    return actions;
}

// Only a first listing may be cancelled, since its content can come from others. Without better readers, the second one
// is read to the end: nobody else may read it.
bool StoreFeed::mayCancelListing() const
{
    const std::uint32_t limit = knowsBetterReaders() ? settings_.maxCancelledListings : 1;
    return state_ == State::Listing && completeTo_ == 0 && cancelledListings_ < limit;
}

ListingEnded StoreFeed::listingEnded(bool isComplete, TimePoint now) const
{
    return { pagesReceived_, listed_.size(), now - listingStartedAt_, isComplete,
        storeRevisionOf(listRevision_.value_or(0)), era(), storeRevisionOf(completeTo_) };
}

void StoreFeed::leaveListingToPeers(TimePoint now, StoreFeedActions& actions)
{
    actions.emplace_back(listingEnded(false, now));
    ++cancelledListings_;
    listed_ = {};
    listRevision_.reset();
    pause(State::PausingBeforeList, settings_.peersTimeout, now);
}

bool StoreFeed::keepsListing(std::uint64_t bytes) const
{
    const bool isFast = settings_.linkMegabits == 0 || bytes <= linkBytes(settings_.fastLinkListingTime);
    return !knowsBetterReaders() && (isFast || keepsListingByChance_);
}

// How many bytes this balancer's own link carries in this time.
std::uint64_t StoreFeed::linkBytes(Duration time) const
{
    constexpr std::uint64_t bytesPerMegabit = 125'000;
    return static_cast<std::uint64_t>(
        std::chrono::duration<double>(time).count() * settings_.linkMegabits * bytesPerMegabit);
}

}
