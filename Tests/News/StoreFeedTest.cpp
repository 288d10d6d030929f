#include "News/StoreFeed.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct StoreFeedTest : testing::Test {
        ManualClock clock;
        StoreFeed feed { 1 };

        template <typename Action> static const Action* only(const StoreFeedActions& actions)
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

        static PlatformPage page(std::uint64_t revision, bool hasMore = false)
        {
            return { { { "key" + std::to_string(revision), "value", revision, false } }, hasMore, revision };
        }

        static PlatformChanges removals(std::uint64_t revision, std::size_t count)
        {
            PlatformChanges changes { {}, revision };
            for (std::size_t i = 0; i < count; ++i)
                changes.items.push_back({ "gone" + std::to_string(i), {}, revision - i, true });
            return changes;
        }

        // Reads everything and begins to watch. Returns the number of the watch.
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

    TEST_F(StoreFeedTest, itListsOnceAndThenWatches)
    {
        const StoreFeedActions begin = feed.start(clock.now());
        ASSERT_NE(only<SendList>(begin), nullptr);
        EXPECT_TRUE(only<SendList>(begin)->call.mayBeStale);
        feed.update(0, true, std::nullopt, clock.now());

        const StoreFeedActions more = feed.handlePage(page(10, true), clock.now());
        EXPECT_EQ(only<SendList>(more)->call.after, "key10");
        const StoreFeedActions listed = feed.handlePage(page(12), clock.now());
        {
            SCOPED_TRACE("the watch begins at the first page, since pages are no snapshot");
            EXPECT_EQ(only<DeltaReceived>(listed)->delta.to, 10U);
            EXPECT_EQ(only<DeltaReceived>(listed)->delta.items.size(), 2U);
            EXPECT_EQ(only<SendWatch>(listed)->call.revision, 10U);
        }
    }

    TEST_F(StoreFeedTest, whoShallNotWatchMakesNoFurtherCall)
    {
        feed.start(clock.now());
        const StoreFeedActions listed = feed.handlePage(page(10), clock.now());
        EXPECT_EQ(only<SendWatch>(listed), nullptr);
        EXPECT_FALSE(feed.nextTick().has_value());
        EXPECT_NE(only<SendWatch>(feed.update(10, true, std::nullopt, clock.now())), nullptr);
    }

    TEST_F(StoreFeedTest, aSeriesOfChangesIsGathered)
    {
        const std::uint64_t number = startWatching();
        const StoreFeedActions news = feed.handleChanges(number, removals(14, 1), clock.now());
        EXPECT_EQ(only<DeltaReceived>(news)->delta.from, 10U);
        EXPECT_EQ(only<DeltaReceived>(news)->delta.to, 14U);
        EXPECT_EQ(only<SendWatch>(news), nullptr);
        EXPECT_EQ(only<SendWatch>(advanceTo(feed.nextTick()))->call.revision, 14U);
    }

    TEST_F(StoreFeedTest, lostHistoryMeansReadingEverythingAnewAndNotFromAnOldCopy)
    {
        const std::uint64_t number = startWatching();
        const StoreFeedActions actions = feed.handleChanges(number, Error { ErrorCode::NotFound, "gone" }, clock.now());
        ASSERT_NE(only<SendList>(actions), nullptr);
        EXPECT_FALSE(only<SendList>(actions)->call.mayBeStale);
        EXPECT_FALSE(feed.isUnreachable());
    }

    TEST_F(StoreFeedTest, aStoreThatDoesNotAnswerIsTriedAgainAfterPauses)
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

    // Symptom: after an outage, servers that lived were given up.
    // Sequence: entries lapse while the store is away, and the watch tells so once it is back.
    // Cause: entries that vanish in or after an outage looked like servers that left.
    TEST_F(StoreFeedTest, newsInAndAfterTroubleIsInDoubt)
    {
        std::uint64_t number = startWatching();
        feed.handleChanges(number, Error { ErrorCode::DeadlineExceeded, "silent" }, clock.now());
        number = only<SendWatch>(advanceTo(feed.nextTick()))->number;
        const StoreFeedActions after = feed.handleChanges(number, removals(14, 1), clock.now());
        EXPECT_TRUE(only<DeltaReceived>(after)->delta.isInDoubt);

        clock.advance(6s);
        number = only<SendWatch>(feed.tick(clock.now()))->number;
        const StoreFeedActions calm = feed.handleChanges(number, removals(20, 1), clock.now());
        EXPECT_FALSE(only<DeltaReceived>(calm)->delta.isInDoubt);

        number = only<SendWatch>(advanceTo(feed.nextTick()))->number;
        const StoreFeedActions many = feed.handleChanges(number, removals(30, 3), clock.now());
        EXPECT_TRUE(only<DeltaReceived>(many)->delta.isInDoubt);
    }

    // Symptom: see ServerDirectoryTest: what vanished in doubt was taken for gone, or stayed in doubt for long.
    // Sequence: many entries vanish at once, and nothing else happens.
    // Cause: a store that says nothing may have nothing to say, or not be heard.
    TEST_F(StoreFeedTest, whatVanishedInDoubtIsAskedForOnceItCouldBeBack)
    {
        std::uint64_t number = startWatching();
        const StoreFeedActions vanished = feed.handleChanges(number, removals(14, 3), clock.now());
        EXPECT_TRUE(only<DeltaReceived>(vanished)->delta.isFresh);
        const StoreFeedActions next = advanceTo(feed.nextTick());
        ASSERT_NE(only<SendWatch>(next), nullptr);
        EXPECT_LT(only<SendWatch>(next)->call.wait, 2s);
        {
            SCOPED_TRACE("nothing is back, and that is news");
            clock.advance(only<SendWatch>(next)->call.wait);
            number = only<SendWatch>(next)->number;
            const StoreFeedActions confirmed = feed.handleChanges(number, PlatformChanges { {}, 14 }, clock.now());
            ASSERT_NE(only<DeltaReceived>(confirmed), nullptr);
            EXPECT_TRUE(only<DeltaReceived>(confirmed)->delta.isFresh);
            EXPECT_EQ(only<SendWatch>(confirmed)->call.wait, StoreFeedSettings {}.watchDuration);
        }
    }

    TEST_F(StoreFeedTest, afterAnOutageTheQuestionWaitsUntilServersCouldBeBack)
    {
        std::uint64_t number = startWatching();
        feed.handleChanges(number, removals(14, 3), clock.now());
        number = only<SendWatch>(advanceTo(feed.nextTick()))->number;
        clock.advance(2500ms);
        feed.handleChanges(number, Error { ErrorCode::DeadlineExceeded, "silent" }, clock.now());
        number = only<SendWatch>(advanceTo(feed.nextTick()))->number;
        const StoreFeedActions regained = feed.handleChanges(number, PlatformChanges { {}, 14 }, clock.now());
        EXPECT_NE(only<StoreReachable>(regained), nullptr);
        EXPECT_EQ(only<DeltaReceived>(regained), nullptr);
        ASSERT_NE(only<SendWatch>(regained), nullptr);
        EXPECT_EQ(only<SendWatch>(regained)->call.wait, 2s);
    }

    // Symptom: a balancer stayed at an old configuration while all others had the new one.
    // Sequence: its connection to the store goes silent for good; others hear the news.
    // Cause: a watch that says nothing looks like a store with nothing to say.
    TEST_F(StoreFeedTest, aWatchThatIsSilentWhileOthersHaveNewsIsReplaced)
    {
        const std::uint64_t silent = startWatching();
        const TimePoint behindSince = clock.now() + 100ms;
        clock.advance(500ms);
        EXPECT_TRUE(feed.update(10, true, behindSince, clock.now()).empty());
        clock.advance(400ms);
        const StoreFeedActions replaced = feed.update(10, true, behindSince, clock.now());
        ASSERT_NE(only<SendWatch>(replaced), nullptr);
        EXPECT_NE(only<StoreUnreachable>(replaced), nullptr);
        {
            SCOPED_TRACE("should it answer after all, that counts once and does not end the new one");
            const StoreFeedActions late = feed.handleChanges(silent, removals(14, 1), clock.now());
            ASSERT_NE(only<DeltaReceived>(late), nullptr);
            EXPECT_TRUE(only<DeltaReceived>(late)->delta.isInDoubt);
            EXPECT_TRUE(feed.handleChanges(silent, removals(14, 1), clock.now()).empty());
            EXPECT_TRUE(feed.isWatching());
        }
    }

    // Symptom: a zone learned of servers that leave 1.5 s after its neighbours.
    // Sequence: the store's answer holds a large configuration and takes over 0.7 s on a thin link; another zone has
    // the news by then, so the watch counts as silent and is sent again; then its answer comes. Cause: the answer to a
    // watch that was replaced was thrown away.
    TEST_F(StoreFeedTest, theAnswerToAWatchThatWasTakenForSilentCounts)
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
            SCOPED_TRACE("what is known already is no news");
            EXPECT_TRUE(feed.handleChanges(first, PlatformChanges { {}, 11 }, clock.now()).empty());
        }
    }

    // Symptom: a zone's only watcher went on for two seconds with a connection that had gone silent (incident 5).
    // Sequence: news comes; the watcher hears of it from another zone and fetches it there; its own watch says nothing.
    // Cause: once it had the news it was no longer behind, and being behind was the only sign.
    TEST_F(StoreFeedTest, aWatchThatDidNotTellWhatOthersToldIsReplaced)
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

    TEST_F(StoreFeedTest, whatOthersToldIsNotListedAgain)
    {
        feed.start(clock.now());
        feed.handlePage(Error { ErrorCode::Unavailable, "status 503" }, clock.now());
        feed.update(25, true, std::nullopt, clock.now());
        EXPECT_EQ(only<SendWatch>(advanceTo(feed.nextTick()))->call.revision, 25U);
    }

    // Symptom: servers that had ended with an outage of the store stayed in doubt for 10 s instead of 2.
    // Sequence: the watch that tells of their entries' vanishing was taken for silent, and its answer comes late.
    // Cause: only the answer of the watch in force made the store be asked again.
    TEST_F(StoreFeedTest, whatVanishedByALateAnswerIsAskedForAsWell)
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
        EXPECT_LE(only<SendWatch>(next)->call.wait, 2s) << "the question whether they are back";
    }

    // Symptom: after all of a zone had lost power, callers whose flows were open waited a second and more, and some for
    // good, although their servers lived.
    // Sequence: the zone had been cut off, so that the entries of its servers lapsed and came back; then all balancers
    // lost power and started with a listing that was some seconds old, in which the servers were missing. Packets of
    // their flows were dropped until the zone had a watcher and that one told.
    // Cause: nothing compared what packets showed with a listing that may be old.
    TEST_F(StoreFeedTest, anOldListingThatPacketsContradictIsCheckedAtOnce)
    {
        feed.start(clock.now());
        feed.handlePage(page(10), clock.now());
        const StoreFeedActions check = feed.noteContradiction(clock.now());
        ASSERT_NE(only<SendWatch>(check), nullptr);
        EXPECT_EQ(only<SendWatch>(check)->call.revision, 10U);
        EXPECT_LE(only<SendWatch>(check)->call.wait, 50ms);
        const auto news
            = feed.handleChanges(only<SendWatch>(check)->number, PlatformChanges { page(14).items, 14 }, clock.now());
        {
            SCOPED_TRACE("what it finds is for this balancer only, as all of its zone may ask");
            ASSERT_NE(only<DeltaReceived>(news), nullptr);
            EXPECT_FALSE(only<DeltaReceived>(news)->isForOthers);
            EXPECT_EQ(only<SendWatch>(news), nullptr);
        }
        {
            SCOPED_TRACE("it is asked once, whatever else packets show");
            EXPECT_TRUE(feed.noteContradiction(clock.now()).empty());
        }
    }

    TEST_F(StoreFeedTest, aListingIsNotCheckedWhenItCannotBeOldAnyMoreOrIsWatched)
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
        }

        // What becomes of a listing of which so much has come after the time at which it is checked.
        bool cancelsListing(std::uint64_t received, bool knowsFasterPeer = false)
        {
            StoreFeed feed(1, settings);
            feed.start(clock.now());
            const TimePoint checkedAt = clock.now() + settings.listingCheckDelay;
            const StoreFeedActions actions = feed.handlePageProgress(received, bytes, knowsFasterPeer, checkedAt);
            EXPECT_EQ(feed.asksPeers(), !actions.empty());
            return !actions.empty();
        }
    };

    TEST_F(SlowLinkStoreFeedTest, aLongListingIsLeftToOthersWhenItComesSlowly)
    {
        EXPECT_TRUE(cancelsListing(bytes / 40));
        EXPECT_FALSE(cancelsListing(bytes / 2));
        {
            SCOPED_TRACE("not by those whose link is wide, or not known");
            settings.linkMegabits = 200;
            EXPECT_FALSE(cancelsListing(bytes / 40));
            settings.linkMegabits = 0;
            EXPECT_FALSE(cancelsListing(bytes / 40));
        }
        {
            SCOPED_TRACE("nor by the few who stay so that neighbours have somebody to ask");
            settings.linkMegabits = 20;
            settings.keepListingOneIn = 1;
            EXPECT_FALSE(cancelsListing(bytes / 40));
            EXPECT_TRUE(cancelsListing(bytes / 40, true)) << "who know somebody better to ask";
        }
    }

    // Symptom: on links of 2 Mbit/s a start of 24 balancers took 1.7 s (median; longest 3.2 s), where one listing
    // takes 1.1. Sequence: all start together; all but a few leave a listing that comes slowly, and wait for these few,
    // who send it to each of them over links that are as thin. Cause: a listing was left also where the balancer's own
    // link was the reason.
    TEST_F(SlowLinkStoreFeedTest, aListingThatTheOwnLinkHoldsUpIsNotLeftToOthers)
    {
        settings.linkMegabits = 2;
        constexpr std::uint64_t bytesPerMillisecond = 250;
        EXPECT_FALSE(
            cancelsListing(bytesPerMillisecond * static_cast<std::uint64_t>(settings.listingCheckDelay.count())));
    }

    TEST_F(SlowLinkStoreFeedTest, whoLeftAListingAndHeardFromNobodyReadsItToTheEnd)
    {
        StoreFeed feed(1, settings);
        feed.start(clock.now());
        clock.advance(settings.listingCheckDelay);
        ASSERT_FALSE(feed.handlePageProgress(bytes / 40, bytes, false, clock.now()).empty());
        EXPECT_FALSE(feed.isUnreachable()) << "the store answered";
        clock.advance(settings.peersTimeout);
        const StoreFeedActions again = feed.tick(clock.now());
        ASSERT_EQ(again.size(), 1U);
        EXPECT_TRUE(std::holds_alternative<SendList>(again.front()));
        clock.advance(settings.listingCheckDelay);
        EXPECT_TRUE(feed.handlePageProgress(bytes / 40, bytes, false, clock.now()).empty());
    }

    TEST_F(SlowLinkStoreFeedTest, whatNeighboursToldIsNotListedAgain)
    {
        StoreFeed feed(1, settings);
        feed.start(clock.now());
        clock.advance(settings.listingCheckDelay);
        feed.handlePageProgress(bytes / 40, bytes, false, clock.now());
        feed.update(7, false, std::nullopt, clock.now());
        EXPECT_FALSE(feed.asksPeers());
        clock.advance(settings.peersTimeout);
        EXPECT_TRUE(feed.tick(clock.now()).empty());
    }

}

}
