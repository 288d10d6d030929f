#include "News/ReplicaSync.h"

#include "News/CompressedValue.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct ReplicaSyncTest : testing::Test {
        ManualClock clock;
        ReplicaSync sync { "walu", 1 };
        std::shared_ptr<MembersView> view = std::make_shared<MembersView>();

        ReplicaSyncTest()
        {
            for (const char* name : { "walu-0", "walu-1", "walu-2", "nabua-0" }) {
                Member member;
                member.name = name;
                member.id = balancerIdOf(name);
                member.availabilityZone = std::string(name).substr(0, std::string(name).find('-'));
                member.state = MemberState::Serving;
                member.peerAddress = { static_cast<std::uint32_t>(view->members.size() + 1), 7000 };
                member.requestAddress = member.peerAddress;
                view->members.push_back(member);
            }
            view->self = balancerIdOf("walu-0");
            std::ranges::sort(view->members, {}, &Member::id);
            publish();
        }

        ReplicaSyncActions publish() { return sync.handleView(std::make_shared<MembersView>(*view), clock.now()); }

        ReplicaSyncActions setRevision(const std::string& name, std::uint64_t revision)
        {
            for (Member& member : view->members) {
                if (member.name == name)
                    member.configurationVersion = revision;
            }
            return publish();
        }

        static StoreDelta change(std::uint64_t from, std::uint64_t to, std::size_t bytes = 10)
        {
            return { from, to, false, false, { { "key", std::string(bytes, 'x'), to, false } } };
        }

        template <typename Action> static std::vector<Action> all(const ReplicaSyncActions& actions)
        {
            std::vector<Action> found;
            for (const ReplicaSyncAction& action : actions) {
                if (const auto* match = std::get_if<Action>(&action))
                    found.push_back(*match);
            }
            return found;
        }
    };

    TEST_F(ReplicaSyncTest, thatTheStoreWasHeardIsTheWholeZonesKnowledge)
    {
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        EXPECT_EQ(sync.lastStoreContact(), TimePoint::min());
        clock.advance(1s);
        StoreDelta confirmation { 5, 5, false, false, {} };
        confirmation.isFresh = true;
        EXPECT_EQ(all<PushDelta>(sync.handleStoreDelta(confirmation, clock.now())).size(), 2U);
        EXPECT_EQ(sync.lastStoreContact(), clock.now());
        clock.advance(1s);
        sync.handlePush(balancerIdOf("walu-1"), confirmation, clock.now());
        EXPECT_EQ(sync.lastStoreContact(), clock.now());
    }

    TEST_F(ReplicaSyncTest, newsOfTheStoreIsPushedToTheOwnZone)
    {
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        const ReplicaSyncActions actions = sync.handleStoreDelta(change(5, 7), clock.now());
        EXPECT_EQ(all<ReplicaChanged>(actions).size(), 1U);
        ASSERT_EQ(all<PushDelta>(actions).size(), 2U);
        for (const PushDelta& push : all<PushDelta>(actions))
            EXPECT_EQ(push.delta.items.size(), 1U);
        {
            SCOPED_TRACE("the same news again is nobody's news");
            EXPECT_TRUE(sync.handleStoreDelta(change(5, 7), clock.now()).empty());
        }
    }

    TEST_F(ReplicaSyncTest, largeNewsIsOnlyAnnouncedAndThenFetched)
    {
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        const auto pushes = all<PushDelta>(sync.handleStoreDelta(change(5, 7, 5000), clock.now()));
        ASSERT_EQ(pushes.size(), 2U);
        EXPECT_TRUE(pushes.front().delta.items.empty());

        ReplicaSync receiver("walu", 2);
        view->self = balancerIdOf("walu-1");
        receiver.handleView(view, clock.now());
        receiver.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        EXPECT_TRUE(receiver.handlePush(balancerIdOf("walu-0"), pushes.front().delta, clock.now()).empty());
        EXPECT_EQ(receiver.replica().completeTo(), 5U);
        clock.advance(300ms);
        const auto fetches = all<FetchDelta>(receiver.tick(clock.now()));
        ASSERT_EQ(fetches.size(), 1U);
        EXPECT_EQ(fetches.front().from, balancerIdOf("walu-0"));
        EXPECT_EQ(fetches.front().after, 5U);
        receiver.handleAnswer("walu-0", sync.replica().deltaSince(5, clock.now()), clock.now());
        EXPECT_EQ(receiver.replica().completeTo(), 7U);
        EXPECT_FALSE(receiver.behindSince().has_value());
    }

    // Symptom: a server that leaves got new flows for 5.2 s, although its zone's watcher knew after 1.5 s.
    // Sequence: servers leave and a configuration of 250 KB is written in one moment, so that one answer of the store
    // holds both; the watcher announces it, and each balancer of the zone fetches the whole over a thin link. Cause:
    // news that was small waited for news that was large.
    TEST_F(ReplicaSyncTest, smallNewsDoesNotWaitForLargeNews)
    {
        StoreDelta delta { 5, 60, false, false, {} };
        for (std::uint64_t revision = 6; revision <= 60; ++revision)
            delta.items.push_back({ fmt::format("servers/{}", revision), std::string(150, 's'), revision, false });
        delta.items[20] = { "configuration", std::string(250000, 'c'), 26, false };
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        const auto pushes = all<PushDelta>(sync.handleStoreDelta(delta, clock.now()));

        ReplicaSync receiver("walu", 2);
        view->self = balancerIdOf("walu-1");
        receiver.handleView(view, clock.now());
        receiver.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        std::size_t taken = 0;
        const auto take = [&](ReplicaSync& target, const StoreDelta& piece) {
            for (const auto& news : all<ReplicaChanged>(target.handlePush(balancerIdOf("walu-0"), piece, clock.now())))
                taken += news.items.size();
        };
        std::vector<StoreDelta> pieces;
        for (const PushDelta& push : pushes) {
            if (push.to == view->find(balancerIdOf("walu-1"))->peerAddress)
                pieces.push_back(push.delta);
        }
        for (const StoreDelta& piece : pieces)
            take(receiver, piece);
        {
            SCOPED_TRACE("all servers are known at once, and nothing is taken for complete that is not");
            EXPECT_EQ(taken, 54U);
            EXPECT_EQ(receiver.replica().completeTo(), 25U);
        }
        {
            SCOPED_TRACE("what is missing is fetched");
            clock.advance(300ms);
            const auto fetches = all<FetchDelta>(receiver.tick(clock.now()));
            ASSERT_EQ(fetches.size(), 1U);
            EXPECT_EQ(fetches.front().after, 25U);
            receiver.handleAnswer("walu-0", sync.replica().deltaSince(25, clock.now()), clock.now());
            EXPECT_EQ(receiver.replica().completeTo(), 60U);
        }
        {
            SCOPED_TRACE("in any order, and with any one datagram lost, no revision is taken for complete too soon");
            for (std::size_t lost = 0; lost < pieces.size(); ++lost) {
                ReplicaSync other("walu", 3);
                other.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
                for (std::size_t i = 0; i < pieces.size(); ++i) {
                    if (i != lost)
                        take(other, pieces[pieces.size() - 1 - i]);
                }
                const std::uint64_t complete = other.replica().completeTo();
                for (const StoreUpdate& item : delta.items) {
                    const auto held = other.replica().deltaSince(0, clock.now()).items;
                    if (item.revision > complete)
                        continue;
                    EXPECT_EQ(std::ranges::count(held, item), 1) << item.key;
                }
            }
        }
    }

    TEST_F(ReplicaSyncTest, itemsOfOneRevisionThatNeedTwoDatagramsAreNotHalfComplete)
    {
        StoreDelta delta { 5, 7, false, false, {} };
        for (int i = 0; i < 20; ++i)
            delta.items.push_back({ fmt::format("key{}", i), std::string(100, 's'), 7, false });
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        const auto pushes = all<PushDelta>(sync.handleStoreDelta(delta, clock.now()));
        ASSERT_GT(pushes.size(), 2U);
        ReplicaSync receiver("walu", 2);
        receiver.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        receiver.handlePush(balancerIdOf("walu-0"), pushes.front().delta, clock.now());
        EXPECT_EQ(receiver.replica().completeTo(), 6U);
    }

    TEST_F(ReplicaSyncTest, newsThatWouldKeepTheLinkBusyIsOnlyAnnounced)
    {
        StoreDelta delta { 5, 2005, false, false, {} };
        for (std::uint64_t revision = 6; revision <= 2005; ++revision)
            delta.items.push_back({ fmt::format("servers/{}", revision), std::string(150, 's'), revision, false });
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        const auto pushes = all<PushDelta>(sync.handleStoreDelta(delta, clock.now()));
        ASSERT_EQ(pushes.size(), 2U);
        EXPECT_TRUE(pushes.front().delta.items.empty());
        EXPECT_EQ(pushes.front().delta.to, 2005U);
    }

    // Symptom: the last balancer of a zone got a configuration of 250 KB after 6 s, on links that carry it in 0.2 s.
    // Sequence: all of a zone fetch from the few that have it, each answer takes over 0.8 s, all give up and ask again.
    // Cause: an answer was given up by its age, also while its bytes came.
    TEST_F(ReplicaSyncTest, anAnswerThatIsComingIsNotGivenUp)
    {
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        setRevision("walu-1", 9);
        clock.advance(300ms);
        ASSERT_EQ(all<FetchDelta>(sync.tick(clock.now())).size(), 1U);
        for (int i = 0; i < 8; ++i) {
            clock.advance(400ms);
            sync.noteFetchProgress(clock.now());
            EXPECT_TRUE(all<FetchDelta>(sync.tick(clock.now())).empty());
        }
        clock.advance(800ms);
        EXPECT_EQ(all<FetchDelta>(sync.tick(clock.now())).size(), 1U);
    }

    // Symptom: a zone that hears from another one keeps an old configuration and takes itself for complete. Sequence:
    // its watcher, whom the store turns away, fetches from another zone a delta that holds a patch, and pushes it on.
    // Cause: only the delta's items were pushed, as if they were all there is.
    TEST_F(ReplicaSyncTest, aPatchThatWasFetchedIsPassedOn)
    {
        const auto configuration = [](std::uint64_t revision, std::size_t lines) {
            StoreUpdate item { "configuration", {}, revision, false };
            for (std::size_t line = 0; line < lines; ++line)
                item.value += fmt::format("route {} of {}\n", line * 7919, line == 50 ? revision : 0);
            compressValue(item);
            return item;
        };
        // A change of one line, which fits into a datagram, and one of nearly all.
        for (const std::size_t lines : { 1000U, 9000U }) {
            SCOPED_TRACE(lines);
            ReplicaSync other("nabua", 2);
            ReplicaSync watcher("walu", 3);
            ReplicaSync receiver("walu", 4);
            watcher.handleView(view, clock.now());
            watcher.setRole(true, true);
            for (ReplicaSync* each : { &other, &watcher, &receiver })
                each->handleStoreDelta({ 0, 5, true, false, { configuration(5, 1000) } }, clock.now());
            StoreDelta news { 5, 8, false, false, { configuration(7, lines) } };
            news.items.push_back({ "servers/1", "ready", 8, false });
            other.handleStoreDelta(news, clock.now());
            const StoreDelta answer = other.replica().deltaSince(5, clock.now(), StoreReplica::Encoding::Patched);
            ASSERT_EQ(answer.patches.size(), 1U);
            for (const PushDelta& push : all<PushDelta>(watcher.handleAnswer("nabua-0", answer, clock.now())))
                receiver.handlePush(balancerIdOf("walu-0"), push.delta, clock.now());
            EXPECT_EQ(watcher.replica().completeTo(), 8U);
            EXPECT_EQ(receiver.replica().completeTo(), lines == 1000 ? 8U : 5U);
            const auto held = receiver.replica().deltaSince(0, clock.now()).items;
            const auto ofReceiver = std::ranges::find(held, "configuration", &StoreUpdate::key);
            ASSERT_NE(ofReceiver, held.end());
            EXPECT_EQ(ofReceiver->revision, lines == 1000 ? 7U : 5U);
        }
    }

    // Symptom: a zone kept an old configuration while the others had the new one.
    // Sequence: the store turns away both watchers of the zone, and only of this zone.
    // Cause: news reached a zone by its own watchers alone.
    TEST_F(ReplicaSyncTest, whoSeesOthersAheadAsksOneOfThem)
    {
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        EXPECT_TRUE(all<FetchDelta>(setRevision("nabua-0", 9)).empty());
        clock.advance(899ms);
        EXPECT_TRUE(all<FetchDelta>(sync.tick(clock.now())).empty());
        clock.advance(1ms);
        const auto fetches = all<FetchDelta>(sync.tick(clock.now()));
        ASSERT_EQ(fetches.size(), 1U);
        EXPECT_EQ(fetches.front().from, balancerIdOf("nabua-0"));
        {
            SCOPED_TRACE("while it waits for the answer it asks nobody else");
            EXPECT_TRUE(all<FetchDelta>(sync.tick(clock.now())).empty());
        }
        {
            SCOPED_TRACE("without an answer it asks another, in its own zone if it can");
            setRevision("walu-1", 9);
            const auto again = all<FetchDelta>(sync.handleFetchFailure(clock.now()));
            ASSERT_EQ(again.size(), 1U);
            EXPECT_EQ(again.front().from, balancerIdOf("walu-1"));
        }
        {
            SCOPED_TRACE("an answer that never comes is given up");
            clock.advance(800ms);
            EXPECT_EQ(all<FetchDelta>(sync.tick(clock.now())).size(), 1U);
        }
    }

    TEST_F(ReplicaSyncTest, aWatcherThatTheStoreTurnsAwayAsksAnotherZoneSoonerAndTellsItsOwn)
    {
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        sync.setRole(true, true);
        setRevision("nabua-0", 9);
        clock.advance(300ms);
        ASSERT_EQ(all<FetchDelta>(sync.tick(clock.now())).size(), 1U);
        EXPECT_EQ(all<PushDelta>(sync.handleAnswer("nabua-0", change(5, 9), clock.now())).size(), 2U);
    }

    // Symptom: after all were killed, a hundred balancers took ten times as long to serve as ten.
    // Sequence: all start at once, each hears from the first ones that they know everything, and asks them for it.
    // Cause: whoever knew nothing asked at once, although the store was about to answer.
    TEST_F(ReplicaSyncTest, whoKnowsNothingLeavesItToTheStoreUnlessThatIsLost)
    {
        EXPECT_TRUE(all<FetchDelta>(setRevision("walu-2", 9)).empty());
        clock.advance(1499ms);
        EXPECT_TRUE(all<FetchDelta>(sync.tick(clock.now())).empty());
        sync.setRole(false, true);
        EXPECT_EQ(all<FetchDelta>(sync.tick(clock.now())).size(), 1U);
    }

    TEST_F(ReplicaSyncTest, whoKnowsNothingAsksANeighbourWithAMuchWiderLinkSooner)
    {
        for (Member& member : view->members)
            member.linkMegabits = member.name == "walu-2" || member.name == "nabua-0" ? 200 : 10;
        {
            SCOPED_TRACE("none that is as thin, and none of another zone");
            setRevision("walu-1", 9);
            setRevision("nabua-0", 9);
            clock.advance(1s);
            EXPECT_TRUE(all<FetchDelta>(sync.tick(clock.now())).empty());
        }
        {
            SCOPED_TRACE("the wide one, and not the thin one beside it");
            const auto fetches = all<FetchDelta>(setRevision("walu-2", 9));
            ASSERT_EQ(fetches.size(), 1U);
            EXPECT_EQ(fetches.front().from, balancerIdOf("walu-2"));
        }
        {
            SCOPED_TRACE("without an answer the thin one is better than none");
            const auto again = all<FetchDelta>(sync.handleFetchFailure(clock.now()));
            ASSERT_EQ(again.size(), 1U);
            EXPECT_EQ(again.front().from, balancerIdOf("walu-1"));
        }
    }

    TEST_F(ReplicaSyncTest, inALargeZoneRequestsSpreadAndAnswersAreAnnounced)
    {
        for (int i = 0; i < 20; ++i) {
            Member member = view->members.front();
            member.name = fmt::format("walu-more-{}", i);
            member.id = balancerIdOf(member.name);
            member.availabilityZone = "walu";
            member.configurationVersion = 0;
            view->members.push_back(member);
        }
        std::ranges::sort(view->members, {}, &Member::id);
        std::set<Duration> waits;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            ReplicaSync receiver("walu", seed);
            receiver.handleView(view, clock.now());
            receiver.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
            receiver.handlePush(balancerIdOf("walu-1"), { 9, 9, false, false, {} }, clock.now());
            waits.insert(*receiver.nextTick() - clock.now());
            EXPECT_EQ(all<PushDelta>(receiver.handleAnswer("walu-1", change(5, 9), clock.now())).size(), 4U);
        }
        EXPECT_GT(waits.size(), 10U);
        EXPECT_GE(*waits.begin(), 300ms);
        EXPECT_LE(*waits.rbegin(), 800ms);
    }

    TEST_F(ReplicaSyncTest, deadMembersAreNotAsked)
    {
        for (Member& member : view->members)
            member.state = member.name == "walu-0" ? MemberState::Serving : MemberState::Dead;
        EXPECT_TRUE(all<FetchDelta>(setRevision("walu-2", 9)).empty());
    }

    // Symptom: after a loss of all power, balancers that had left a long listing to those with wide links asked them
    // half a second after these had it. Sequence: the listing comes, and the next heartbeat tells of it. Cause: only
    // gossip told who knows everything.
    TEST_F(ReplicaSyncTest, whoReadsEverythingTellsThoseOfItsZoneThatKnowNothing)
    {
        setRevision("walu-1", 5);
        const ReplicaSyncActions actions = sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        const std::vector<PushDelta> pushes = all<PushDelta>(actions);
        ASSERT_EQ(pushes.size(), 1U);
        EXPECT_EQ(pushes.front().to, view->find(balancerIdOf("walu-2"))->peerAddress);
        EXPECT_TRUE(pushes.front().delta.items.empty());
        {
            SCOPED_TRACE("who hears it asks at once, if it left its listing to others");
            ReplicaSync other("walu", 2);
            MembersView otherView = *view;
            otherView.self = balancerIdOf("walu-2");
            for (Member& member : otherView.members)
                member.configurationVersion = 0;
            other.setFetchesImmediately(true);
            other.handleView(std::make_shared<MembersView>(otherView), clock.now());
            const ReplicaSyncActions asked = other.handlePush(view->self, pushes.front().delta, clock.now());
            EXPECT_EQ(all<FetchDelta>(asked).size(), 1U);
        }
    }

}

}
