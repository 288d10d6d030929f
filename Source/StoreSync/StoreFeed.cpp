#include "StoreSync/StoreFeed.h"

#include "StoreSync/CompressedValue.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace wisteriadock {

StoreFeed::StoreFeed(std::uint64_t seed, const StoreFeedSettings& settings)
    : settings_(settings)
    , backoff_(settings.minBackoff, settings.maxBackoff, seed)
    , keepsListingByChance_(std::mt19937_64(seed)() % settings.keepListingOneIn == 0)
{
}

StoreUpdate StoreFeed::updateOf(const PlatformItem& item, std::uint64_t era)
{
    StoreUpdate update { item.key, item.value, revisionInEra(era, item.revision), item.isRemoved };
    compressValue(update);
    return update;
}

void StoreFeed::watch(TimePoint now, StoreFeedActions& actions)
{
    isCheckingListing_ = false;
    watch(nextWatchDuration(now), now, actions);
}

void StoreFeed::watch(std::chrono::milliseconds wait, TimePoint now, StoreFeedActions& actions)
{
    watch(wait, wait + settings_.answerTimeout, now, actions);
}

void StoreFeed::watch(
    std::chrono::milliseconds wait, std::chrono::milliseconds timeout, TimePoint now, StoreFeedActions& actions)
{
    state_ = State::Watching;
    pauseUntil_.reset();
    watchedSince_ = now;
    watchedRevision_ = completeTo_;
    supersededSince_.reset();
    ++watchNumber_;
    actions.emplace_back(SendWatch { { "", storeRevisionOf(completeTo_), wait }, timeout, watchNumber_ });
}

std::chrono::milliseconds StoreFeed::nextWatchDuration(TimePoint now) const
{
    if (settings_.confirmsAtOnce && !followsAnswer_)
        return settings_.minWatchDuration;
    if (!confirmAt_)
        return settings_.watchDuration;
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(*confirmAt_ - now);
    return std::clamp(remaining, settings_.minWatchDuration, settings_.watchDuration);
}

StoreFeedActions StoreFeed::handleChanges(std::uint64_t number, const Result<PlatformChanges>& changes, TimePoint now)
{
    StoreFeedActions actions;
    if (state_ != State::Watching || number != watchNumber_)
        return handleLateAnswer(number, changes, now);
    if (!changes && changes.error().code == ErrorCode::NotFound) {
        // The store no longer has the changes since this revision. Removals show only in a listing, which must not be
        // stale.
        mayListStale_ = false;
        list(now, actions);
        return actions;
    }
    // Whoever asked for changes decides when to ask again. A balancer that does not watch would not notice the end of
    // an outage.
    if (!changes && isAsking_ && !isWatcher_) {
        state_ = State::Idle;
        reportOutcome(false, actions);
        return actions;
    }
    if (!changes) {
        noteFailure(changes.error(), now, actions);
        pause(State::PausingBeforeWatch, backoff_.next(), now);
        reportOutcome(false, actions);
        return actions;
    }
    noteSuccess(now, actions);
    noteEra(changes.value().era, changes.value().revision, now, actions);
    if (!isOfWatchedEra(changes.value())) {
        std::ranges::move(handleRestoredStore(changes.value(), now), std::back_inserter(actions));
        return actions;
    }
    const bool isConfirmation = confirmAt_ && now >= *confirmAt_;
    if (isConfirmation)
        confirmAt_.reset();
    StoreDelta delta = deltaOf(changes.value(), completeTo_, now);
    // A balancer that only asks does not know for how long the store has been reachable.
    delta.isFresh = now >= freshFrom_ && !isAsking_;
    completeTo_ = delta.to;
    answeredAt_ = now;
    followsAnswer_ = isWatcher_;
    const bool hasChanges = !delta.items.empty();
    const bool isForOthers = !std::exchange(isCheckingListing_, false);
    if (hasChanges || delta.to > delta.from || isConfirmation)
        actions.emplace_back(DeltaReceived { std::move(delta), isForOthers });
    reportOutcome(true, actions);
    if (!isWatcher_)
        state_ = State::Idle;
    else if (hasChanges)
        pause(State::PausingBeforeWatch, settings_.batchDelay, now);
    else
        watch(now, actions);
    return actions;
}

bool StoreFeed::isOfWatchedEra(const PlatformChanges& changes) const { return changes.era == eraOf(watchedRevision_); }

// The revision after which the watch waited counts changes of another copy, so the answer may lack some. A balancer
// that only checks its first listing leaves the new one to the watchers; one that asks for its zone has heard of none.
StoreFeedActions StoreFeed::handleRestoredStore(const PlatformChanges& changes, TimePoint now)
{
    StoreFeedActions actions;
    isCheckingListing_ = false;
    if (!isWatcher_ && !isAsking_)
        state_ = State::Idle;
    else if (changes.era < eraOf(completeTo_))
        pause(State::PausingBeforeWatch, backoff_.next(), now);
    else
        restartListing(now, actions);
    return actions;
}

// Makes a delta of the changes. If it holds removals in doubt, has the store asked once more later.
StoreDelta StoreFeed::deltaOf(const PlatformChanges& changes, std::uint64_t from, TimePoint now)
{
    const auto removals = static_cast<std::size_t>(
        std::ranges::count_if(changes.items, [](const PlatformItem& item) { return item.isRemoved; }));
    StoreDelta delta;
    delta.from = from;
    delta.to = std::max(revisionInEra(changes.era, changes.revision), from);
    delta.isInDoubt = hadRecentOutage(now) || removals >= settings_.massRemovalThreshold;
    if (delta.isInDoubt && removals > 0)
        confirmAt_ = now + settings_.reregistrationTime;
    for (const PlatformItem& item : changes.items)
        delta.items.push_back(updateOf(item, changes.era));
    return delta;
}

// A watch that counted as unresponsive may only have been slow, with a large answer on a slow link. Its answer is as
// valid as that of the watch that replaced it, and arrives sooner.
StoreFeedActions StoreFeed::handleLateAnswer(
    std::uint64_t number, const Result<PlatformChanges>& changes, TimePoint now)
{
    StoreFeedActions actions;
    const bool isReplaced = replacedWatch_ && replacedWatch_->number == number;
    const bool isUsable = isReplaced && changes && changes.value().era == eraOf(replacedWatch_->revision);
    if (!isUsable || revisionInEra(changes.value().era, changes.value().revision) <= completeTo_)
        return actions;
    StoreDelta delta = deltaOf(changes.value(), replacedWatch_->revision, now);
    replacedWatch_.reset();
    completeTo_ = delta.to;
    actions.emplace_back(DeltaReceived { std::move(delta) });
    return actions;
}

// Without this check, a balancer that started from a stale listing drops packets of open flows to servers that the
// listing lacks until a watcher of its zone pushes them.
StoreFeedActions StoreFeed::noteContradiction(TimePoint now)
{
    StoreFeedActions actions;
    const auto listedAt = std::exchange(staleListingAt_, std::nullopt);
    if (!listedAt || state_ != State::Idle || now - *listedAt >= settings_.maxListingAge)
        return actions;
    isCheckingListing_ = true;
    watch(settings_.minWatchDuration, now, actions);
    return actions;
}

StoreFeedActions StoreFeed::askForChanges(std::chrono::milliseconds timeout, TimePoint now)
{
    StoreFeedActions actions;
    if (state_ != State::Idle || completeTo_ == 0)
        return actions;
    isAsking_ = true;
    isCheckingListing_ = false;
    // The whole zone waits for the answer, so the store does not wait for changes.
    watch(std::chrono::milliseconds(1), timeout, now, actions);
    return actions;
}

void StoreFeed::reportOutcome(bool isAnswered, StoreFeedActions& actions)
{
    if (std::exchange(isAsking_, false))
        actions.emplace_back(StoreAsked { isAnswered });
}

// A dead connection looks like a store without changes until the watch times out.
std::optional<TimePoint> StoreFeed::answeredAt(TimePoint now) const
{
    const bool isOpen = state_ == State::Watching && isWatcher_ && followsAnswer_ && !unreachableSince_;
    return isOpen ? now : answeredAt_;
}

StoreFeedActions StoreFeed::update(
    std::uint64_t completeTo, bool isWatcher, std::optional<TimePoint> behindSince, TimePoint now)
{
    StoreFeedActions actions;
    completeTo_ = std::max(completeTo_, completeTo);
    isWatcher_ = isWatcher;
    knowsPeersAhead_ = behindSince.has_value();
    if (state_ == State::Idle && isWatcher_ && completeTo_ > 0) {
        followsAnswer_ = false;
        watch(now, actions);
    }
    // The watch waits for changes after a revision of an earlier era.
    if (state_ == State::Watching && eraOf(completeTo_) > eraOf(watchedRevision_))
        watch(now, actions);
    if (completeTo_ > watchedRevision_ && !supersededSince_)
        supersededSince_ = now;
    if (isUnresponsive(behindSince, now)) {
        noteFailure({ ErrorCode::DeadlineExceeded, "the watch does not answer, but other balancers received changes" },
            now, actions);
        replacedWatch_ = ReplacedWatch { watchNumber_, watchedRevision_ };
        watch(now, actions);
    }
    return actions;
}

// A dead connection looks like a store without changes. The difference shows when other balancers have changes that the
// watch should have returned, also after this balancer has received them from there.
bool StoreFeed::isUnresponsive(std::optional<TimePoint> behindSince, TimePoint now) const
{
    if (state_ != State::Watching)
        return false;
    const bool isBehind = behindSince && now - std::max(*behindSince, watchedSince_) > settings_.unresponsiveAfter;
    const bool isSuperseded = supersededSince_ && now - *supersededSince_ > settings_.unresponsiveAfter;
    return isBehind || isSuperseded;
}

StoreFeedActions StoreFeed::tick(TimePoint now)
{
    StoreFeedActions actions;
    if (isAwaitingReaders_) {
        awaitReaders(now, actions);
        return actions;
    }
    if (!pauseUntil_ || now < *pauseUntil_)
        return actions;
    pauseUntil_.reset();
    if (state_ == State::PausingBeforeList && needsListing())
        list(now, actions);
    else if (isWatcher_)
        watch(now, actions);
    else
        state_ = State::Idle;
    return actions;
}

bool StoreFeed::hadRecentOutage(TimePoint now) const { return unreachableSince_ || now < doubtUntil_; }

void StoreFeed::pause(State state, std::chrono::milliseconds time, TimePoint now)
{
    state_ = state;
    pauseUntil_ = now + time;
}

// A restored store lacks what was written since its copy was made, until it is written again. As after an outage, what
// is missing now may be back soon.
void StoreFeed::noteEra(std::uint64_t era, std::uint64_t revision, TimePoint now, StoreFeedActions& actions)
{
    const std::uint64_t former = era_.value_or(completeTo_ > 0 ? eraOf(completeTo_) : era);
    era_ = std::max(era, former);
    if (era <= former)
        return;
    actions.emplace_back(StoreEraChanged { former, era, revision, storeRevisionOf(completeTo_) });
    confirmLater(now);
}

void StoreFeed::noteFailure(const Error& error, TimePoint now, StoreFeedActions& actions)
{
    followsAnswer_ = false;
    if (unreachableSince_)
        return;
    unreachableSince_ = now;
    actions.emplace_back(StoreUnreachable { error });
}

void StoreFeed::noteSuccess(TimePoint now, StoreFeedActions& actions)
{
    backoff_.reset();
    if (!unreachableSince_)
        return;
    actions.emplace_back(StoreReachable { now - *unreachableSince_ });
    unreachableSince_.reset();
    confirmLater(now);
}

// Others may have told of removed entries meanwhile, so the store is asked once more even if this balancer saw none.
void StoreFeed::confirmLater(TimePoint now)
{
    doubtUntil_ = now + settings_.doubtAfterOutage;
    freshFrom_ = now + settings_.reregistrationTime;
    confirmAt_ = freshFrom_;
}

}
