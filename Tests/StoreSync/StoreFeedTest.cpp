#include "StoreSync/StoreFeed.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // The only action of its kind; null if there is none.
    template <typename Action> const Action* only(const StoreFeedActions& actions)
    {
        const Action* found = nullptr;
        for (const StoreFeedAction& action : actions) {
            if (const auto* match = std::get_if<Action>(&action)) {
                EXPECT_EQ(found, nullptr) << "more than one";
                found = match;
            }
        }
        return found;
    }

    struct StoreFeedTest : testing::Test {
        ManualClock clock;
        StoreFeed feed { 1 };

        static PlatformPage page(std::uint64_t revision, bool hasMore = false)
        {
            return { { { "key" + std::to_string(revision), "value", revision, false } }, hasMore, revision };
        }

        static PlatformChanges removals(std::uint64_t revision, std::size_t count)
        {
            PlatformChanges changes { {}, revision };
            for (std::size_t i = 0; i < count; ++i)
                changes.items.push_back({ "removed" + std::to_string(i), {}, revision - i, true });
            return changes;
        }

        // Lists the store and starts a watch. Returns the number of the watch.
        std::uint64_t startWatching()
        {
            feed.start(clock.now());
            feed.update(0, true, std::nullopt, clock.now());
            return only<SendWatch>(feed.handlePage(page(10), clock.now()))->number;
        }

        StoreFeedActions advanceTo(std::optional<TimePoint> time)
        {
            clock.advance(*time - clock.now());
            return feed.tick(clock.now());
        }
    };

    TEST_F(StoreFeedTest, ListsOnceAndThenWatches)
    {
        const StoreFeedActions started = feed.start(clock.now());
        ASSERT_NE(only<SendList>(started), nullptr);
        EXPECT_TRUE(only<SendList>(started)->call.mayBeStale);
        feed.update(0, true, std::nullopt, clock.now());

        const StoreFeedActions more = feed.handlePage(page(10, true), clock.now());
        EXPECT_EQ(only<SendList>(more)->call.after, "key10");
        const StoreFeedActions listed = feed.handlePage(page(12), clock.now());
        {
            SCOPED_TRACE("the watch starts at the revision of the first page");
            EXPECT_EQ(only<DeltaReceived>(listed)->delta.to, 10U);
            EXPECT_EQ(only<DeltaReceived>(listed)->delta.items.size(), 2U);
            EXPECT_EQ(only<SendWatch>(listed)->call.revision, 10U);
        }
    }

    // Guards against pages from copies of different ages that count as complete up to a newer one of them.
    TEST_F(StoreFeedTest, StaleListingIsCompleteUpToItsOldestPage)
    {
        const std::vector<std::vector<std::uint64_t>> listings { { 12, 10 }, { 10, 12 }, { 12, 10, 14 },
            { 14, 12, 10 } };
        for (const auto& revisions : listings) {
            SCOPED_TRACE(testing::PrintToString(revisions));
            StoreFeed listing { 1 };
            listing.start(clock.now());
            listing.update(0, true, std::nullopt, clock.now());
            StoreFeedActions actions;
            for (std::size_t i = 0; i < revisions.size(); ++i)
                actions = listing.handlePage(page(revisions[i], i + 1 < revisions.size()), clock.now());
            ASSERT_NE(only<DeltaReceived>(actions), nullptr);
            EXPECT_EQ(only<DeltaReceived>(actions)->delta.to, 10U);
            EXPECT_EQ(only<DeltaReceived>(actions)->delta.items.size(), revisions.size());
            EXPECT_EQ(only<ListingEnded>(actions)->revision, 10U);
            EXPECT_EQ(only<SendWatch>(actions)->call.revision, 10U);
        }
    }

    // Guards against a listing that keeps the revision of a page from an earlier attempt.
    TEST_F(StoreFeedTest, RepeatedListingForgetsThePagesOfTheFailedOne)
    {
        feed.start(clock.now());
        feed.handlePage(page(5, true), clock.now());
        feed.handlePage(Error { ErrorCode::Unavailable, "status 503" }, clock.now());
        EXPECT_EQ(only<SendList>(advanceTo(feed.nextTick()))->call.after, "");
        const StoreFeedActions listed = feed.handlePage(page(9), clock.now());
        EXPECT_EQ(only<DeltaReceived>(listed)->delta.to, 9U);
        EXPECT_EQ(only<DeltaReceived>(listed)->delta.items.size(), 1U);
    }

    // Guards against a check of a stale listing that begins at its newest page, so that it returns nothing.
    TEST_F(StoreFeedTest, CheckOfAStaleListingBeginsAtItsOldestPage)
    {
        feed.start(clock.now());
        feed.handlePage(page(14, true), clock.now());
        feed.handlePage(page(10), clock.now());
        const StoreFeedActions check = feed.noteContradiction(clock.now());
        ASSERT_NE(only<SendWatch>(check), nullptr);
        EXPECT_EQ(only<SendWatch>(check)->call.revision, 10U);
    }

    TEST_F(StoreFeedTest, BalancerThatIsNoWatcherMakesNoFurtherCalls)
    {
        feed.start(clock.now());
        const StoreFeedActions listed = feed.handlePage(page(10), clock.now());
        EXPECT_EQ(only<SendWatch>(listed), nullptr);
        EXPECT_FALSE(feed.nextTick().has_value());
        EXPECT_NE(only<SendWatch>(feed.update(10, true, std::nullopt, clock.now())), nullptr);
    }

    // Guards against a question for the zone that waits for changes, is not pushed, or counts as a watch.
    TEST_F(StoreFeedTest, ABalancerThatIsNoWatcherAsksForItsZone)
    {
        feed.start(clock.now());
        EXPECT_TRUE(feed.askForChanges(250ms, clock.now()).empty());
        feed.handlePage(page(10), clock.now());
        EXPECT_FALSE(feed.answeredAt(clock.now()));
        const StoreFeedActions asked = feed.askForChanges(250ms, clock.now());
        ASSERT_NE(only<SendWatch>(asked), nullptr);
        EXPECT_EQ(only<SendWatch>(asked)->call.wait, 1ms);
        EXPECT_EQ(only<SendWatch>(asked)->timeout, 250ms);
        EXPECT_FALSE(feed.answeredAt(clock.now()));
        EXPECT_TRUE(feed.askForChanges(250ms, clock.now()).empty());
        const std::uint64_t number = only<SendWatch>(asked)->number;
        const StoreFeedActions answered
            = feed.handleChanges(number, PlatformChanges { { { "key", "v", 12, false } }, 12 }, clock.now());
        ASSERT_NE(only<DeltaReceived>(answered), nullptr);
        EXPECT_TRUE(only<DeltaReceived>(answered)->isForOthers);
        EXPECT_FALSE(only<DeltaReceived>(answered)->delta.isFresh);
        EXPECT_TRUE(only<StoreAsked>(answered)->isAnswered);
        EXPECT_EQ(feed.answeredAt(clock.now() + 1s), clock.now());
        EXPECT_FALSE(feed.isWatching());
        {
            SCOPED_TRACE("a failure is reported and leaves no outage behind, which nothing would end");
            const StoreFeedActions again = feed.askForChanges(250ms, clock.now());
            const StoreFeedActions failed = feed.handleChanges(
                only<SendWatch>(again)->number, Error { ErrorCode::Unavailable, "status 503" }, clock.now());
            EXPECT_FALSE(only<StoreAsked>(failed)->isAnswered);
            EXPECT_FALSE(feed.isUnreachable());
            EXPECT_FALSE(feed.nextTick());
        }
    }

    // Guards against a question that the store answers with "gone" or from a restored copy, and that ends there
    // although no watcher is heard.
    TEST_F(StoreFeedTest, AQuestionLeadsToAListingWhereTheStoreLacksTheHistory)
    {
        feed.start(clock.now());
        feed.handlePage(page(10), clock.now());
        {
            SCOPED_TRACE("history dropped");
            const auto number = only<SendWatch>(feed.askForChanges(250ms, clock.now()))->number;
            const StoreFeedActions gone
                = feed.handleChanges(number, Error { ErrorCode::NotFound, "history" }, clock.now());
            ASSERT_NE(only<SendList>(gone), nullptr);
            EXPECT_FALSE(only<SendList>(gone)->call.mayBeStale);
            const StoreFeedActions listed = feed.handlePage(page(20), clock.now());
            EXPECT_EQ(only<DeltaReceived>(listed)->delta.to, 20U);
            EXPECT_TRUE(only<StoreAsked>(listed)->isAnswered);
        }
        {
            SCOPED_TRACE("another era");
            const auto number = only<SendWatch>(feed.askForChanges(250ms, clock.now()))->number;
            const StoreFeedActions restored = feed.handleChanges(number, PlatformChanges { {}, 15, 1 }, clock.now());
            ASSERT_NE(only<SendList>(restored), nullptr);
            PlatformPage restoredPage = page(15);
            restoredPage.era = 1;
            EXPECT_TRUE(only<StoreAsked>(feed.handlePage(restoredPage, clock.now()))->isAnswered);
        }
    }

    // Guards against a watch on a connection that is dead, or that has begun from an old listing, that counts as a
    // proof that the store has nothing newer.
    TEST_F(StoreFeedTest, AnOpenWatchCountsAsAnAnswerOnlyAfterOne)
    {
        StoreFeedSettings settings;
        settings.confirmsAtOnce = true;
        StoreFeed watching { 1, settings };
        watching.start(clock.now());
        watching.update(0, true, std::nullopt, clock.now());
        const StoreFeedActions listed = watching.handlePage(page(10), clock.now());
        EXPECT_EQ(only<SendWatch>(listed)->call.wait, settings.minWatchDuration);
        EXPECT_FALSE(watching.answeredAt(clock.now()));
        const StoreFeedActions answered
            = watching.handleChanges(only<SendWatch>(listed)->number, PlatformChanges { {}, 10 }, clock.now());
        EXPECT_EQ(only<SendWatch>(answered)->call.wait, settings.watchDuration);
        const TimePoint answeredAt = clock.now();
        clock.advance(1s);
        EXPECT_EQ(watching.answeredAt(clock.now()), clock.now());
        watching.handleChanges(
            only<SendWatch>(answered)->number, Error { ErrorCode::DeadlineExceeded, "timeout" }, clock.now());
        EXPECT_EQ(watching.answeredAt(clock.now()), answeredAt);
        const TimePoint retry = *watching.nextTick();
        clock.advance(retry - clock.now());
        const StoreFeedActions retried = watching.tick(retry);
        EXPECT_EQ(only<SendWatch>(retried)->call.wait, settings.minWatchDuration);
        EXPECT_EQ(watching.answeredAt(clock.now()), answeredAt);
    }

    TEST_F(StoreFeedTest, SeriesOfChangesIsBatched)
    {
        const std::uint64_t number = startWatching();
        const StoreFeedActions changes = feed.handleChanges(number, removals(14, 1), clock.now());
        EXPECT_EQ(only<DeltaReceived>(changes)->delta.from, 10U);
        EXPECT_EQ(only<DeltaReceived>(changes)->delta.to, 14U);
        EXPECT_EQ(only<SendWatch>(changes), nullptr);
        EXPECT_EQ(only<SendWatch>(advanceTo(feed.nextTick()))->call.revision, 14U);
    }

    TEST_F(StoreFeedTest, CompactedHistoryCausesAListingThatIsNotStale)
    {
        const std::uint64_t number = startWatching();
        const StoreFeedActions actions = feed.handleChanges(number, Error { ErrorCode::NotFound, "gone" }, clock.now());
        ASSERT_NE(only<SendList>(actions), nullptr);
        EXPECT_FALSE(only<SendList>(actions)->call.mayBeStale);
        EXPECT_FALSE(feed.isUnreachable());
    }

    TEST_F(StoreFeedTest, UnreachableStoreIsRetriedWithBackoff)
    {
        feed.start(clock.now());
        feed.update(0, true, std::nullopt, clock.now());
        Duration pauses {};
        for (int i = 0; i < 8; ++i) {
            const StoreFeedActions failed
                = feed.handlePage(Error { ErrorCode::Unavailable, "status 503" }, clock.now());
            EXPECT_EQ(only<StoreUnreachable>(failed) != nullptr, i == 0);
            ASSERT_TRUE(feed.nextTick().has_value());
            pauses += *feed.nextTick() - clock.now();
            EXPECT_NE(only<SendList>(advanceTo(feed.nextTick())), nullptr);
        }
        EXPECT_GT(pauses, 2s);
        EXPECT_LT(pauses, 8s);
        const StoreFeedActions listed = feed.handlePage(page(10), clock.now());
        EXPECT_EQ(only<StoreReachable>(listed)->outage, pauses);
    }

    // Guards against giving up live servers whose entries lapsed in an outage of the store.
    TEST_F(StoreFeedTest, RemovalsDuringAndAfterAnOutageAreInDoubt)
    {
        std::uint64_t number = startWatching();
        feed.handleChanges(number, Error { ErrorCode::DeadlineExceeded, "no answer" }, clock.now());
        number = only<SendWatch>(advanceTo(feed.nextTick()))->number;
        const StoreFeedActions after = feed.handleChanges(number, removals(14, 1), clock.now());
        EXPECT_TRUE(only<DeltaReceived>(after)->delta.isInDoubt);

        clock.advance(6s);
        number = only<SendWatch>(feed.tick(clock.now()))->number;
        const StoreFeedActions certain = feed.handleChanges(number, removals(20, 1), clock.now());
        EXPECT_FALSE(only<DeltaReceived>(certain)->delta.isInDoubt);

        number = only<SendWatch>(advanceTo(feed.nextTick()))->number;
        const StoreFeedActions many = feed.handleChanges(number, removals(30, 3), clock.now());
        EXPECT_TRUE(only<DeltaReceived>(many)->delta.isInDoubt);
    }

    // Guards against pages of two copies of the store in one listing.
    TEST_F(StoreFeedTest, ListingInterruptedByARestoreStartsAnew)
    {
        feed.start(clock.now());
        feed.update(0, true, std::nullopt, clock.now());
        feed.handlePage(page(10, true), clock.now());
        PlatformPage next = page(12);
        next.era = 1;
        const StoreFeedActions restarted = feed.handlePage(next, clock.now());
        ASSERT_NE(only<SendList>(restarted), nullptr);
        EXPECT_EQ(only<SendList>(restarted)->call.after, "");
        EXPECT_FALSE(only<SendList>(restarted)->call.mayBeStale);
        const StoreFeedActions listed = feed.handlePage(next, clock.now());
        EXPECT_EQ(only<DeltaReceived>(listed)->delta.items.size(), 1U);
        EXPECT_EQ(only<DeltaReceived>(listed)->delta.to, revisionInEra(1, 12));
    }

    // Guards against a page from a copy of before the restore that counts as one of the restored store.
    TEST_F(StoreFeedTest, PageOfAnEarlierEraStartsTheListingAnew)
    {
        feed.start(clock.now());
        PlatformPage first = page(7, true);
        first.era = 1;
        feed.handlePage(first, clock.now());
        const StoreFeedActions restarted = feed.handlePage(page(20), clock.now());
        EXPECT_EQ(only<DeltaReceived>(restarted), nullptr);
        ASSERT_NE(only<SendList>(restarted), nullptr);
        EXPECT_EQ(only<SendList>(restarted)->call.after, "");
        EXPECT_FALSE(only<SendList>(restarted)->call.mayBeStale);
    }

    // Guards against changes that are missed because the store has passed the revision of before when it is asked
    // again.
    TEST_F(StoreFeedTest, WatchAnsweredInAnotherEraLeadsToAListing)
    {
        const std::uint64_t number = startWatching();
        PlatformChanges changes { page(14).items, 14 };
        changes.era = 1;
        const StoreFeedActions answered = feed.handleChanges(number, changes, clock.now());
        EXPECT_EQ(only<DeltaReceived>(answered), nullptr);
        EXPECT_EQ(only<StoreEraChanged>(answered)->era, 1U);
        ASSERT_NE(only<SendList>(answered), nullptr);
        PlatformPage listing = page(9);
        listing.era = 1;
        const StoreFeedActions listed = feed.handlePage(listing, clock.now());
        {
            SCOPED_TRACE("what is missing may be written again soon, and the store counts from its own revision");
            EXPECT_TRUE(only<DeltaReceived>(listed)->delta.isInDoubt);
            EXPECT_EQ(only<DeltaReceived>(listed)->delta.to, revisionInEra(1, 9));
            EXPECT_EQ(only<SendWatch>(listed)->call.revision, 9U);
        }
    }

    // Guards against a watch that waits on in an era that others have told of the end of.
    TEST_F(StoreFeedTest, WatchIsReplacedWhenOthersTellOfAnotherEra)
    {
        const std::uint64_t number = startWatching();
        const StoreFeedActions replaced = feed.update(revisionInEra(1, 4), true, std::nullopt, clock.now());
        ASSERT_NE(only<SendWatch>(replaced), nullptr);
        EXPECT_EQ(only<SendWatch>(replaced)->call.revision, 4U);
        EXPECT_EQ(only<StoreUnreachable>(replaced), nullptr);
        EXPECT_TRUE(feed.handleChanges(number, PlatformChanges { page(14).items, 14 }, clock.now()).empty());
    }

    // Guards against a loop of listings and refused watches while the store shows less than others have told.
    TEST_F(StoreFeedTest, ListingThatShowsLessThanIsKnownIsFollowedByAPause)
    {
        const std::uint64_t number = startWatching();
        feed.handleChanges(number, Error { ErrorCode::NotFound, "gone" }, clock.now());
        const StoreFeedActions listed = feed.handlePage(page(7), clock.now());
        EXPECT_EQ(only<SendWatch>(listed), nullptr);
        EXPECT_GE(*feed.nextTick() - clock.now(), 500ms);
    }

    // Guards against removals that stay in doubt because nothing else changes in the store.
    TEST_F(StoreFeedTest, RemovalsInDoubtAreConfirmedAfterTheReregistrationTime)
    {
        std::uint64_t number = startWatching();
        const StoreFeedActions vanished = feed.handleChanges(number, removals(14, 3), clock.now());
        EXPECT_TRUE(only<DeltaReceived>(vanished)->delta.isFresh);
        const StoreFeedActions next = advanceTo(feed.nextTick());
        ASSERT_NE(only<SendWatch>(next), nullptr);
        EXPECT_LT(only<SendWatch>(next)->call.wait, 2s);
        {
            SCOPED_TRACE("an answer without changes confirms the removals");
            clock.advance(only<SendWatch>(next)->call.wait);
            number = only<SendWatch>(next)->number;
            const StoreFeedActions confirmed = feed.handleChanges(number, PlatformChanges { {}, 14 }, clock.now());
            ASSERT_NE(only<DeltaReceived>(confirmed), nullptr);
            EXPECT_TRUE(only<DeltaReceived>(confirmed)->delta.isFresh);
            EXPECT_EQ(only<SendWatch>(confirmed)->call.wait, StoreFeedSettings {}.watchDuration);
        }
    }

    TEST_F(StoreFeedTest, ConfirmationWaitsForTheReregistrationTimeAfterAnOutage)
    {
        std::uint64_t number = startWatching();
        feed.handleChanges(number, removals(14, 3), clock.now());
        number = only<SendWatch>(advanceTo(feed.nextTick()))->number;
        clock.advance(2500ms);
        feed.handleChanges(number, Error { ErrorCode::DeadlineExceeded, "no answer" }, clock.now());
        number = only<SendWatch>(advanceTo(feed.nextTick()))->number;
        const StoreFeedActions regained = feed.handleChanges(number, PlatformChanges { {}, 14 }, clock.now());
        EXPECT_NE(only<StoreReachable>(regained), nullptr);
        EXPECT_EQ(only<DeltaReceived>(regained), nullptr);
        ASSERT_NE(only<SendWatch>(regained), nullptr);
        EXPECT_EQ(only<SendWatch>(regained)->call.wait, 2s);
    }

    // Guards against a balancer that stays at an old configuration because its connection to the store is dead.
    TEST_F(StoreFeedTest, UnresponsiveWatchIsReplacedWhenOthersReceiveChanges)
    {
        const std::uint64_t unresponsive = startWatching();
        const TimePoint behindSince = clock.now() + 100ms;
        clock.advance(500ms);
        EXPECT_TRUE(feed.update(10, true, behindSince, clock.now()).empty());
        clock.advance(400ms);
        const StoreFeedActions replaced = feed.update(10, true, behindSince, clock.now());
        ASSERT_NE(only<SendWatch>(replaced), nullptr);
        EXPECT_NE(only<StoreUnreachable>(replaced), nullptr);
        {
            SCOPED_TRACE("a late answer is used once and does not end the new watch");
            const StoreFeedActions late = feed.handleChanges(unresponsive, removals(14, 1), clock.now());
            ASSERT_NE(only<DeltaReceived>(late), nullptr);
            EXPECT_TRUE(only<DeltaReceived>(late)->delta.isInDoubt);
            EXPECT_TRUE(feed.handleChanges(unresponsive, removals(14, 1), clock.now()).empty());
            EXPECT_TRUE(feed.isWatching());
        }
    }

    // Guards against discarding a large answer that arrives after its watch was replaced.
    TEST_F(StoreFeedTest, LateAnswerToAReplacedWatchIsUsed)
    {
        const std::uint64_t first = startWatching();
        clock.advance(100ms);
        const TimePoint behindSince = clock.now();
        clock.advance(701ms);
        const StoreFeedActions replaced = feed.update(10, true, behindSince, clock.now());
        ASSERT_NE(only<SendWatch>(replaced), nullptr);
        const StoreFeedActions late
            = feed.handleChanges(first, PlatformChanges { { { "key11", "value", 11, false } }, 11 }, clock.now());
        ASSERT_NE(only<DeltaReceived>(late), nullptr);
        EXPECT_EQ(only<DeltaReceived>(late)->delta.from, 10U);
        EXPECT_EQ(only<DeltaReceived>(late)->delta.to, 11U);
        EXPECT_TRUE(feed.isWatching());
        {
            SCOPED_TRACE("an answer without newer changes is ignored");
            EXPECT_TRUE(feed.handleChanges(first, PlatformChanges { {}, 11 }, clock.now()).empty());
        }
    }

    // Guards against keeping a dead connection because the changes arrived from other balancers.
    TEST_F(StoreFeedTest, WatchThatMissedChangesOfOthersIsReplaced)
    {
        startWatching();
        clock.advance(200ms);
        EXPECT_TRUE(feed.update(12, true, std::nullopt, clock.now()).empty());
        clock.advance(600ms);
        EXPECT_TRUE(feed.update(12, true, std::nullopt, clock.now()).empty());
        clock.advance(200ms);
        const StoreFeedActions replaced = feed.update(12, true, std::nullopt, clock.now());
        EXPECT_NE(only<StoreUnreachable>(replaced), nullptr);
        ASSERT_NE(only<SendWatch>(replaced), nullptr);
        EXPECT_EQ(only<SendWatch>(replaced)->call.revision, 12U);
    }

    TEST_F(StoreFeedTest, StateReceivedFromOthersIsNotListed)
    {
        feed.start(clock.now());
        feed.handlePage(Error { ErrorCode::Unavailable, "status 503" }, clock.now());
        feed.update(25, true, std::nullopt, clock.now());
        EXPECT_EQ(only<SendWatch>(advanceTo(feed.nextTick()))->call.revision, 25U);
    }

    // Guards against removals that stay in doubt because they arrived with a late answer.
    TEST_F(StoreFeedTest, RemovalsOfALateAnswerAreConfirmedAsWell)
    {
        const std::uint64_t first = startWatching();
        const TimePoint behindSince = clock.now();
        clock.advance(800ms);
        const StoreFeedActions replaced = feed.update(10, true, behindSince, clock.now());
        ASSERT_NE(only<SendWatch>(replaced), nullptr);
        const StoreFeedActions late = feed.handleChanges(first, removals(14, 3), clock.now());
        ASSERT_NE(only<DeltaReceived>(late), nullptr);
        EXPECT_TRUE(only<DeltaReceived>(late)->delta.isInDoubt);
        const auto next
            = feed.handleChanges(only<SendWatch>(replaced)->number, PlatformChanges { {}, 14 }, clock.now());
        ASSERT_NE(only<SendWatch>(next), nullptr);
        EXPECT_LE(only<SendWatch>(next)->call.wait, 2s) << "the watch that confirms the removals";
    }

    // Guards against dropping packets of open flows to live servers that a stale listing lacks.
    TEST_F(StoreFeedTest, StaleListingContradictedByPacketsIsCheckedAtOnce)
    {
        feed.start(clock.now());
        feed.handlePage(page(10), clock.now());
        const StoreFeedActions check = feed.noteContradiction(clock.now());
        ASSERT_NE(only<SendWatch>(check), nullptr);
        EXPECT_EQ(only<SendWatch>(check)->call.revision, 10U);
        EXPECT_LE(only<SendWatch>(check)->call.wait, 50ms);
        const auto changes
            = feed.handleChanges(only<SendWatch>(check)->number, PlatformChanges { page(14).items, 14 }, clock.now());
        {
            SCOPED_TRACE("the result is not pushed to the zone");
            ASSERT_NE(only<DeltaReceived>(changes), nullptr);
            EXPECT_FALSE(only<DeltaReceived>(changes)->isForOthers);
            EXPECT_EQ(only<SendWatch>(changes), nullptr);
        }
        {
            SCOPED_TRACE("there is one check only");
            EXPECT_TRUE(feed.noteContradiction(clock.now()).empty());
        }
    }

    TEST_F(StoreFeedTest, ListingIsNotCheckedWhenItIsTooOldOrWatched)
    {
        feed.start(clock.now());
        feed.handlePage(page(10), clock.now());
        clock.advance(20s);
        EXPECT_TRUE(feed.noteContradiction(clock.now()).empty());

        StoreFeed watching { 2 };
        watching.start(clock.now());
        watching.update(0, true, std::nullopt, clock.now());
        watching.handlePage(page(10), clock.now());
        EXPECT_TRUE(watching.noteContradiction(clock.now()).empty());
    }

    struct SlowLinkStoreFeedTest : testing::Test {
        static constexpr std::uint64_t bytes = 2'400'000;
        ManualClock clock;
        StoreFeedSettings settings;

        SlowLinkStoreFeedTest()
        {
            settings.linkMegabits = 20;
            settings.keepListingOneIn = 1'000'000;
            // Listings begin at once.
            settings.fastLinkMegabits = 0;
        }

        // Whether a listing is cancelled of which this many bytes have arrived when it is checked.
        bool cancelsListing(std::uint64_t received, bool knowsBetterReaders = false)
        {
            StoreFeed feed(1, settings);
            feed.setBetterReaders(knowsBetterReaders ? BetterReaders::Known : BetterReaders::None);
            feed.start(clock.now());
            const TimePoint checkedAt = clock.now() + settings.listingCheckDelay;
            const StoreFeedActions actions = feed.handlePageProgress(received, bytes, checkedAt);
            EXPECT_EQ(feed.asksPeers(), !actions.empty());
            return !actions.empty();
        }
    };

    TEST_F(SlowLinkStoreFeedTest, SlowLargeListingIsCancelled)
    {
        EXPECT_TRUE(cancelsListing(bytes / 40));
        EXPECT_FALSE(cancelsListing(bytes / 2));
        {
            SCOPED_TRACE("not where the link is fast or unknown");
            settings.linkMegabits = 200;
            EXPECT_FALSE(cancelsListing(bytes / 40));
            settings.linkMegabits = 0;
            EXPECT_FALSE(cancelsListing(bytes / 40));
        }
        {
            SCOPED_TRACE("not by those chosen to complete it, unless they know a faster peer");
            settings.linkMegabits = 20;
            settings.keepListingOneIn = 1;
            EXPECT_FALSE(cancelsListing(bytes / 40));
            EXPECT_TRUE(cancelsListing(bytes / 40, true)) << "a faster peer is known";
        }
    }

    // Guards against cancelling a listing where every balancer has a link that is as slow.
    TEST_F(SlowLinkStoreFeedTest, ListingLimitedByTheOwnLinkIsNotCancelled)
    {
        settings.linkMegabits = 2;
        constexpr std::uint64_t bytesPerMillisecond = 250;
        EXPECT_FALSE(
            cancelsListing(bytesPerMillisecond * static_cast<std::uint64_t>(settings.listingCheckDelay.count())));
    }

    TEST_F(SlowLinkStoreFeedTest, ListingIsRepeatedToTheEndWhenPeersSendNothing)
    {
        StoreFeed feed(1, settings);
        feed.start(clock.now());
        clock.advance(settings.listingCheckDelay);
        ASSERT_FALSE(feed.handlePageProgress(bytes / 40, bytes, clock.now()).empty());
        EXPECT_FALSE(feed.isUnreachable()) << "the store answered";
        clock.advance(settings.peersTimeout);
        const StoreFeedActions again = feed.tick(clock.now());
        ASSERT_EQ(again.size(), 1U);
        EXPECT_TRUE(std::holds_alternative<SendList>(again.front()));
        clock.advance(settings.listingCheckDelay);
        EXPECT_TRUE(feed.handlePageProgress(bytes / 40, bytes, clock.now()).empty());
    }

    // Guards against a start of thousands of balancers that all read a listing of many pages, each of which is short.
    TEST_F(SlowLinkStoreFeedTest, ListingOfManyPagesIsLeftToBetterReaders)
    {
        PlatformPage first { { { "servers/1", "x", 5 } }, true, 9 };
        for (const bool knowsBetterReaders : { false, true }) {
            SCOPED_TRACE(knowsBetterReaders);
            StoreFeed feed(1, settings);
            feed.setBetterReaders(knowsBetterReaders ? BetterReaders::Known : BetterReaders::None);
            feed.start(clock.now());
            const StoreFeedActions actions = feed.handlePage(first, clock.now());
            EXPECT_EQ(only<SendList>(actions) == nullptr, knowsBetterReaders);
            EXPECT_EQ(actions.size(), 1U);
            EXPECT_EQ(feed.asksPeers(), knowsBetterReaders);
            EXPECT_EQ(only<ListingEnded>(actions) != nullptr, knowsBetterReaders);
        }
        {
            SCOPED_TRACE("it is read to the end when they send nothing");
            StoreFeed feed(1, settings);
            feed.setBetterReaders(BetterReaders::Known);
            feed.start(clock.now());
            for (std::uint32_t i = 0; i < settings.maxCancelledListings; ++i) {
                EXPECT_EQ(only<SendList>(feed.handlePage(first, clock.now())), nullptr);
                clock.advance(settings.peersTimeout);
                EXPECT_EQ(feed.tick(clock.now()).size(), 1U);
            }
            EXPECT_EQ(feed.handlePage(first, clock.now()).size(), 1U);
            PlatformPage last { { { "servers/2", "x", 6 } }, false, 9 };
            const StoreFeedActions actions = feed.handlePage(last, clock.now());
            ASSERT_EQ(actions.size(), 2U);
            EXPECT_EQ(only<DeltaReceived>(actions)->delta.items.size(), 2U);
            EXPECT_TRUE(only<ListingEnded>(actions)->isComplete);
            EXPECT_EQ(only<ListingEnded>(actions)->pages, 2U);
            EXPECT_EQ(only<ListingEnded>(actions)->entries, 2U);
        }
    }

    TEST_F(SlowLinkStoreFeedTest, StateReceivedFromPeersIsNotListed)
    {
        StoreFeed feed(1, settings);
        feed.start(clock.now());
        clock.advance(settings.listingCheckDelay);
        feed.handlePageProgress(bytes / 40, bytes, clock.now());
        feed.update(7, false, std::nullopt, clock.now());
        EXPECT_FALSE(feed.asksPeers());
        clock.advance(settings.peersTimeout);
        EXPECT_TRUE(feed.tick(clock.now()).empty());
    }

    // Guards against hundreds of balancers that read a long listing to the end although peers have told them
    // everything.
    TEST_F(SlowLinkStoreFeedTest, ListingStopsOnceTheStateHasArrivedFromPeers)
    {
        const PlatformPage page { { { "servers/1", "x", 5 } }, true, 9 };
        for (const bool isWatcher : { false, true }) {
            SCOPED_TRACE(isWatcher);
            StoreFeed feed(1, settings);
            feed.start(clock.now());
            EXPECT_NE(only<SendList>(feed.handlePage(page, clock.now())), nullptr);
            feed.update(7, isWatcher, std::nullopt, clock.now());
            const StoreFeedActions actions = feed.handlePage(page, clock.now());
            EXPECT_EQ(only<SendList>(actions), nullptr);
            EXPECT_FALSE(only<ListingEnded>(actions)->isComplete);
            EXPECT_EQ(feed.isWatching(), isWatcher);
        }
    }

    struct AwaitingReadersTest : SlowLinkStoreFeedTest {
        AwaitingReadersTest() { settings.fastLinkMegabits = 100; }

        // Whether the feed lists the store when it is ticked this long after its start.
        bool listsAfter(StoreFeed& feed, Duration time)
        {
            return only<SendList>(feed.tick(clock.now() + time)) != nullptr;
        }
    };

    // Guards against hundreds of balancers whose pages fill the store's link before one of them has read everything.
    TEST_F(AwaitingReadersTest, BalancerWithASlowLinkLooksForReadersFirst)
    {
        StoreFeed feed(1, settings);
        EXPECT_TRUE(feed.start(clock.now()).empty());
        EXPECT_TRUE(feed.isAwaitingReaders());
        EXPECT_TRUE(feed.asksPeers());
        EXPECT_FALSE(listsAfter(feed, settings.readerSearchTime - 1ms));
        {
            SCOPED_TRACE("it waits longer for readers that it knows");
            feed.setBetterReaders(BetterReaders::Known);
            EXPECT_FALSE(listsAfter(feed, settings.readerWaitTime - 1ms));
            EXPECT_TRUE(listsAfter(feed, settings.readerWaitTime));
            EXPECT_FALSE(feed.isAwaitingReaders());
        }
    }

    TEST_F(AwaitingReadersTest, StoreIsListedWhenNobodyElseShouldReadIt)
    {
        {
            SCOPED_TRACE("no other balancer answers");
            StoreFeed feed(1, settings);
            feed.start(clock.now());
            EXPECT_TRUE(listsAfter(feed, settings.readerSearchTime));
            EXPECT_FALSE(feed.asksPeers());
        }
        {
            SCOPED_TRACE("others are as slow");
            StoreFeed feed(1, settings);
            feed.start(clock.now());
            feed.setBetterReaders(BetterReaders::None);
            EXPECT_TRUE(listsAfter(feed, 20ms));
        }
        for (const std::uint32_t linkMegabits : { 0U, 100U }) {
            SCOPED_TRACE(linkMegabits);
            settings.linkMegabits = linkMegabits;
            StoreFeed feed(1, settings);
            EXPECT_NE(only<SendList>(feed.start(clock.now())), nullptr);
        }
    }

    struct StoreSampleTest : AwaitingReadersTest {
        StoreFeed feed { 1, sampleSettings() };

        StoreSampleTest() { feed.start(clock.now()); }

        StoreFeedSettings sampleSettings()
        {
            settings.sampleStart = "servers/sample";
            return settings;
        }

        static PlatformPage sampleOf(std::size_t entries)
        {
            return { std::vector<PlatformItem>(entries, { "servers/sample-1", "walu", 5 }), false, 9 };
        }
    };

    // Guards against balancers of a small deployment that wait for others that start later, although the store can send
    // its one page to all of them in a moment.
    TEST_F(StoreSampleTest, SmallStoreIsListedAtOnceWhenNobodyIsMet)
    {
        EXPECT_EQ(only<SendSample>(feed.tick(clock.now())), nullptr) << "others have not had time to answer yet";
        const StoreFeedActions actions = feed.tick(clock.now() + settings.sampleDelay);
        ASSERT_NE(only<SendSample>(actions), nullptr);
        EXPECT_EQ(only<SendSample>(actions)->call.after, settings.sampleStart);
        EXPECT_EQ(only<SendSample>(feed.tick(clock.now() + 2 * settings.sampleDelay)), nullptr) << "requested once";
        const StoreFeedActions answered = feed.handleSample(sampleOf(1), clock.now() + 15ms);
        ASSERT_NE(only<SendList>(answered), nullptr);
        EXPECT_TRUE(only<SendList>(answered)->call.after.empty());
        EXPECT_FALSE(feed.isAwaitingReaders());
        EXPECT_TRUE(feed.handleSample(sampleOf(1), clock.now() + 16ms).empty());
    }

    // Guards against hundreds of balancers whose pages fill the store's link because those that they contact first
    // start after them.
    TEST_F(StoreSampleTest, LargeStoreIsLeftToReadersThatAreMetLater)
    {
        feed.tick(clock.now() + settings.sampleDelay);
        EXPECT_TRUE(feed.handleSample(sampleOf(2), clock.now() + 15ms).empty());
        EXPECT_FALSE(listsAfter(feed, settings.readerSearchTime));
        EXPECT_TRUE(listsAfter(feed, settings.largeStoreSearchTime)) << "nobody is met at all";
    }

    TEST_F(StoreSampleTest, SampleThatIsNotAnsweredDelaysNothing)
    {
        feed.tick(clock.now() + settings.sampleDelay);
        const StoreFeedActions actions = feed.tick(clock.now() + settings.readerSearchTime);
        EXPECT_NE(only<CancelListing>(actions), nullptr);
        EXPECT_NE(only<SendList>(actions), nullptr);
        {
            SCOPED_TRACE("the store refuses it");
            StoreFeed other(1, settings);
            other.start(clock.now());
            other.tick(clock.now() + settings.sampleDelay);
            EXPECT_TRUE(other.handleSample(Error { ErrorCode::Unavailable, "" }, clock.now() + 15ms).empty());
            EXPECT_TRUE(listsAfter(other, settings.readerSearchTime));
        }
    }

    TEST_F(StoreSampleTest, NoSampleIsRequestedOnceAnotherBalancerIsKnown)
    {
        feed.setBetterReaders(BetterReaders::Known);
        EXPECT_EQ(only<SendSample>(feed.tick(clock.now() + settings.sampleDelay)), nullptr);
    }

    TEST_F(AwaitingReadersTest, StoreIsNotListedWhileAPeerHasEverything)
    {
        StoreFeed feed(1, settings);
        feed.start(clock.now());
        feed.setBetterReaders(BetterReaders::Known);
        feed.update(0, false, clock.now(), clock.now());
        const StoreFeedActions actions = feed.tick(clock.now() + 20ms);
        EXPECT_EQ(only<SendList>(actions), nullptr);
        EXPECT_EQ(only<ListingEnded>(actions)->took, 20ms);
        EXPECT_TRUE(feed.asksPeers());
        {
            SCOPED_TRACE("it is listed if the peer does not send it");
            EXPECT_FALSE(listsAfter(feed, settings.peersTimeout));
            EXPECT_TRUE(listsAfter(feed, 20ms + settings.peersTimeout));
        }
        {
            SCOPED_TRACE("it is not listed once the peer has sent it");
            StoreFeed other(1, settings);
            other.start(clock.now());
            other.update(7, false, std::nullopt, clock.now());
            EXPECT_FALSE(listsAfter(other, settings.readerWaitTime));
            EXPECT_FALSE(other.isAwaitingReaders());
            EXPECT_FALSE(listsAfter(other, settings.readerWaitTime + settings.peersTimeout));
        }
    }

}

}
