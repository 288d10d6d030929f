#include "StoreSync/ReplicaSync.h"

#include "StoreSync/CompressedValue.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <set>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct ReplicaSyncTest : testing::Test {
        ManualClock clock;
        ReplicaSync sync { "walu", 1 };
        std::shared_ptr<MembersView> view = std::make_shared<MembersView>();
        std::mt19937 random { 1 };

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

        // Text that fills as many datagrams as its length says.
        std::string incompressible(std::size_t bytes)
        {
            std::string text(bytes, '\0');
            for (char& byte : text)
                byte = static_cast<char>(random());
            return text;
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

    TEST_F(ReplicaSyncTest, ContactWithTheStoreIsSharedWithTheZone)
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

    TEST_F(ReplicaSyncTest, StoreUpdatesArePushedToTheOwnZone)
    {
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        const ReplicaSyncActions actions = sync.handleStoreDelta(change(5, 7), clock.now());
        EXPECT_EQ(all<ReplicaChanged>(actions).size(), 1U);
        ASSERT_EQ(all<PushDelta>(actions).size(), 2U);
        for (const PushDelta& push : all<PushDelta>(actions))
            EXPECT_EQ(push.piece->delta.items.size(), 1U);
        {
            SCOPED_TRACE("the same delta again has no effect");
            EXPECT_TRUE(sync.handleStoreDelta(change(5, 7), clock.now()).empty());
        }
    }

    TEST_F(ReplicaSyncTest, LargeUpdateIsAnnouncedAndThenFetched)
    {
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        const auto pushes = all<PushDelta>(sync.handleStoreDelta(change(5, 7, 5000), clock.now()));
        ASSERT_EQ(pushes.size(), 2U);
        EXPECT_TRUE(pushes.front().piece->delta.items.empty());

        ReplicaSync receiver("walu", 2);
        view->self = balancerIdOf("walu-1");
        receiver.handleView(view, clock.now());
        receiver.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        EXPECT_TRUE(receiver.handlePush(balancerIdOf("walu-0"), pushes.front().piece->delta, clock.now()).empty());
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

    // Guards against servers that keep receiving flows because their removal waits for a large configuration.
    TEST_F(ReplicaSyncTest, SmallUpdatesDoNotWaitForLargeOnes)
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
        std::size_t received = 0;
        const auto deliver = [&](ReplicaSync& target, const StoreDelta& piece) {
            for (const auto& change :
                all<ReplicaChanged>(target.handlePush(balancerIdOf("walu-0"), piece, clock.now())))
                received += change.items.size();
        };
        std::vector<StoreDelta> pieces;
        for (const PushDelta& push : pushes) {
            if (push.to == view->find(balancerIdOf("walu-1"))->peerAddress)
                pieces.push_back(push.piece->delta);
        }
        for (const StoreDelta& piece : pieces)
            deliver(receiver, piece);
        {
            SCOPED_TRACE("all servers arrive at once, and the replica is complete only up to the configuration");
            EXPECT_EQ(received, 54U);
            EXPECT_EQ(receiver.replica().completeTo(), 25U);
        }
        {
            SCOPED_TRACE("the missing configuration is fetched");
            clock.advance(300ms);
            const auto fetches = all<FetchDelta>(receiver.tick(clock.now()));
            ASSERT_EQ(fetches.size(), 1U);
            EXPECT_EQ(fetches.front().after, 25U);
            receiver.handleAnswer("walu-0", sync.replica().deltaSince(25, clock.now()), clock.now());
            EXPECT_EQ(receiver.replica().completeTo(), 60U);
        }
        {
            SCOPED_TRACE("in reverse order and with any datagram lost, no revision counts as complete too early");
            for (std::size_t lost = 0; lost < pieces.size(); ++lost) {
                ReplicaSync other("walu", 3);
                other.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
                for (std::size_t i = 0; i < pieces.size(); ++i) {
                    if (i != lost)
                        deliver(other, pieces[pieces.size() - 1 - i]);
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

    TEST_F(ReplicaSyncTest, RevisionSplitOverDatagramsIsNotCompleteTooEarly)
    {
        StoreDelta delta { 5, 7, false, false, {} };
        for (int i = 0; i < 20; ++i)
            delta.items.push_back({ fmt::format("key{}", i), incompressible(100), 7, false });
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        const auto pushes = all<PushDelta>(sync.handleStoreDelta(delta, clock.now()));
        ASSERT_GT(pushes.size(), 2U);
        ReplicaSync receiver("walu", 2);
        receiver.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        receiver.handlePush(balancerIdOf("walu-0"), pushes.front().piece->delta, clock.now());
        EXPECT_EQ(receiver.replica().completeTo(), 6U);
    }

    // Guards against receivers that count as complete beyond the revision of a fetched delta: the sender held some
    // later updates of its own, after a gap or from a newer page of a listing, and the delta was split at them.
    TEST_F(ReplicaSyncTest, DeltaWithLaterUpdatesIsCompleteOnlyToItsOwnRevision)
    {
        StoreDelta delta { 5, 30, false, false, {} };
        for (std::uint64_t revision = 6; revision <= 60; revision += 2)
            delta.items.push_back({ fmt::format("key{}", revision), incompressible(150), revision, false });
        delta.items.push_back({ "large", incompressible(3000), 51, false });
        sync.setRole(true, false);
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        const auto pushes = all<PushDelta>(sync.handleAnswer("nabua-0", delta, clock.now()));
        ASSERT_GT(pushes.size(), 4U);
        EXPECT_EQ(sync.replica().completeTo(), 30U);
        ReplicaSync receiver("walu", 2);
        receiver.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        for (const PushDelta& push : pushes) {
            EXPECT_LE(push.piece->delta.to, 30U);
            if (push.to != pushes.front().to)
                continue;
            receiver.handlePush(balancerIdOf("walu-0"), push.piece->delta, clock.now());
            EXPECT_LE(receiver.replica().completeTo(), 30U);
        }
        EXPECT_EQ(receiver.replica().completeTo(), 30U);
    }

    TEST_F(ReplicaSyncTest, DeltaOfManySimilarUpdatesIsPushedCompressed)
    {
        StoreDelta delta { 5, 405, false, false, {} };
        for (std::uint64_t revision = 6; revision <= 405; ++revision)
            delta.items.push_back({ fmt::format("servers/{}", revision), std::string(150, 's'), revision, false });
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        const auto pushes = all<PushDelta>(sync.handleStoreDelta(delta, clock.now()));
        ReplicaSync receiver("walu", 2);
        receiver.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        std::size_t pieces = 0;
        for (const PushDelta& push : pushes) {
            EXPECT_LE(push.piece->bytes.size(), ReplicaSyncSettings().maxPushBytes);
            const auto decoded = decodePiece(push.piece->bytes, push.piece->isCompressed);
            ASSERT_TRUE(decoded);
            if (push.to != pushes.front().to)
                continue;
            ++pieces;
            receiver.handlePush(balancerIdOf("walu-0"), decoded.value(), clock.now());
        }
        EXPECT_LT(pieces, 40U);
        EXPECT_EQ(receiver.replica().completeTo(), 405U);
        EXPECT_EQ(receiver.replica().deltaSince(0, clock.now()).items.size(), 400U);
    }

    TEST_F(ReplicaSyncTest, CorruptPieceIsRejected)
    {
        std::vector<std::uint8_t> bytes(300);
        for (int i = 0; i < 2000; ++i) {
            for (std::uint8_t& byte : bytes)
                byte = static_cast<std::uint8_t>(random());
            EXPECT_FALSE(decodePiece(bytes, true));
        }
    }

    TEST_F(ReplicaSyncTest, DeltaOfTooManyDatagramsIsOnlyAnnounced)
    {
        StoreDelta delta { 5, 2005, false, false, {} };
        for (std::uint64_t revision = 6; revision <= 2005; ++revision)
            delta.items.push_back({ fmt::format("servers/{}", revision), incompressible(150), revision, false });
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        const auto pushes = all<PushDelta>(sync.handleStoreDelta(delta, clock.now()));
        ASSERT_EQ(pushes.size(), 2U);
        EXPECT_TRUE(pushes.front().piece->delta.items.empty());
        EXPECT_EQ(pushes.front().piece->delta.to, 2005U);
    }

    // Guards against giving up a fetch by its age while its bytes still arrive.
    TEST_F(ReplicaSyncTest, FetchWithProgressDoesNotTimeOut)
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

    // Guards against a zone that keeps an old configuration and counts as complete because its watcher pushed a fetched
    // delta without the patches.
    TEST_F(ReplicaSyncTest, FetchedPatchIsPushedToTheZone)
    {
        const auto configuration = [](std::uint64_t revision, std::size_t lines) {
            StoreUpdate item { "configuration", {}, revision, false };
            for (std::size_t line = 0; line < lines; ++line)
                item.value += fmt::format("route {} of {}\n", line * 7919, line == 50 ? revision : 0);
            compressValue(item);
            return item;
        };
        // A change of one line, whose patch fits into a datagram, and one of nearly all lines.
        for (const std::size_t lines : { 1000U, 9000U }) {
            SCOPED_TRACE(lines);
            ReplicaSync other("nabua", 2);
            ReplicaSync watcher("walu", 3);
            ReplicaSync receiver("walu", 4);
            watcher.handleView(view, clock.now());
            watcher.setRole(true, true);
            for (ReplicaSync* each : { &other, &watcher, &receiver })
                each->handleStoreDelta({ 0, 5, true, false, { configuration(5, 1000) } }, clock.now());
            StoreDelta update { 5, 8, false, false, { configuration(7, lines) } };
            update.items.push_back({ "servers/1", "ready", 8, false });
            other.handleStoreDelta(update, clock.now());
            const StoreDelta answer = other.replica().deltaSince(5, clock.now(), StoreReplica::Encoding::Patched);
            ASSERT_EQ(answer.patches.size(), 1U);
            for (const PushDelta& push : all<PushDelta>(watcher.handleAnswer("nabua-0", answer, clock.now())))
                receiver.handlePush(balancerIdOf("walu-0"), push.piece->delta, clock.now());
            EXPECT_EQ(watcher.replica().completeTo(), 8U);
            EXPECT_EQ(receiver.replica().completeTo(), lines == 1000 ? 8U : 5U);
            const auto held = receiver.replica().deltaSince(0, clock.now()).items;
            const auto configurationOfReceiver = std::ranges::find(held, "configuration", &StoreUpdate::key);
            ASSERT_NE(configurationOfReceiver, held.end());
            EXPECT_EQ(configurationOfReceiver->revision, lines == 1000 ? 7U : 5U);
        }
    }

    // Guards against a zone that stays at an old configuration while the store rejects all of its watchers.
    TEST_F(ReplicaSyncTest, BalancerThatIsBehindFetchesFromAnother)
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
            SCOPED_TRACE("there is one fetch at a time");
            EXPECT_TRUE(all<FetchDelta>(sync.tick(clock.now())).empty());
        }
        {
            SCOPED_TRACE("after a failure it fetches from another balancer, preferably of its own zone");
            setRevision("walu-1", 9);
            const auto again = all<FetchDelta>(sync.handleFetchFailure(clock.now()));
            ASSERT_EQ(again.size(), 1U);
            EXPECT_EQ(again.front().from, balancerIdOf("walu-1"));
        }
        {
            SCOPED_TRACE("a fetch without an answer times out");
            clock.advance(800ms);
            EXPECT_EQ(all<FetchDelta>(sync.tick(clock.now())).size(), 1U);
        }
    }

    TEST_F(ReplicaSyncTest, WatcherRejectedByTheStoreFetchesSoonerFromAnotherZoneAndPushes)
    {
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        sync.setRole(true, true);
        setRevision("nabua-0", 9);
        clock.advance(300ms);
        ASSERT_EQ(all<FetchDelta>(sync.tick(clock.now())).size(), 1U);
        EXPECT_EQ(all<PushDelta>(sync.handleAnswer("nabua-0", change(5, 9), clock.now())).size(), 2U);
    }

    // Guards against a slow start of many balancers that all fetch from the first ones to have a snapshot.
    TEST_F(ReplicaSyncTest, EmptyReplicaWaitsForTheStoreUnlessItIsUnreachable)
    {
        EXPECT_TRUE(all<FetchDelta>(setRevision("walu-2", 9)).empty());
        clock.advance(1499ms);
        EXPECT_TRUE(all<FetchDelta>(sync.tick(clock.now())).empty());
        sync.setRole(false, true);
        EXPECT_EQ(all<FetchDelta>(sync.tick(clock.now())).size(), 1U);
    }

    TEST_F(ReplicaSyncTest, EmptyReplicaFetchesSoonerFromAPeerWithAMuchFasterLink)
    {
        for (Member& member : view->members)
            member.linkMegabits = member.name == "walu-2" || member.name == "nabua-0" ? 200 : 10;
        {
            SCOPED_TRACE("not from one with a slow link, or of another zone");
            setRevision("walu-1", 9);
            setRevision("nabua-0", 9);
            clock.advance(1s);
            EXPECT_TRUE(all<FetchDelta>(sync.tick(clock.now())).empty());
        }
        {
            SCOPED_TRACE("from the one with the fast link");
            const auto fetches = all<FetchDelta>(setRevision("walu-2", 9));
            ASSERT_EQ(fetches.size(), 1U);
            EXPECT_EQ(fetches.front().from, balancerIdOf("walu-2"));
        }
        {
            SCOPED_TRACE("after a failure from the one with the slow link");
            const auto again = all<FetchDelta>(sync.handleFetchFailure(clock.now()));
            ASSERT_EQ(again.size(), 1U);
            EXPECT_EQ(again.front().from, balancerIdOf("walu-1"));
        }
    }

    // Guards against a start that serves nobody until the servers of all zones are known.
    TEST_F(ReplicaSyncTest, EmptyReplicaBehindASlowLinkFetchesItsOwnZoneFirst)
    {
        const auto setLink = [&](std::uint32_t megabits) {
            for (Member& member : view->members)
                member.linkMegabits = member.name == "walu-0" ? megabits : 200;
        };
        sync.setFetchesImmediately(true);
        setLink(20);
        const auto first = all<FetchDelta>(setRevision("walu-1", 9));
        ASSERT_EQ(first.size(), 1U);
        EXPECT_EQ(first.front().scope, FetchScope::OwnZone);
        EXPECT_FALSE(sync.hasOwnZone());
        const StoreDelta excerpt { 9, 9, false, false, { { "servers/1", "walu", 7 } } };
        const ReplicaSyncActions actions = sync.handleAnswer("walu-1", excerpt, clock.now());
        EXPECT_TRUE(sync.hasOwnZone());
        EXPECT_EQ(all<ReplicaChanged>(actions).size(), 1U);
        {
            SCOPED_TRACE("and everything a little later, since the excerpt completes nothing");
            EXPECT_EQ(sync.replica().completeTo(), 0U);
            EXPECT_TRUE(all<FetchDelta>(actions).empty());
            clock.advance(*sync.nextTick() - clock.now());
            const auto next = all<FetchDelta>(sync.tick(clock.now()));
            ASSERT_EQ(next.size(), 1U);
            EXPECT_EQ(next.front().scope, FetchScope::Everything);
            EXPECT_EQ(next.front().after, 0U);
        }
        {
            SCOPED_TRACE("a whole answer, as earlier versions send it, delays nothing");
            ReplicaSyncSettings settings;
            settings.otherZonesDelay = 1s;
            ReplicaSync other("walu", 2, settings);
            other.setFetchesImmediately(true);
            EXPECT_EQ(all<FetchDelta>(other.handleView(view, clock.now())).front().scope, FetchScope::OwnZone);
            other.handleAnswer("walu-1", { 0, 9, true, false, {} }, clock.now());
            other.handlePush(balancerIdOf("walu-1"), { 12, 12, false, false, {} }, clock.now());
            clock.advance(300ms);
            EXPECT_EQ(all<FetchDelta>(other.tick(clock.now())).size(), 1U);
        }
        {
            SCOPED_TRACE("another zone is asked for everything at once");
            ReplicaSync other("laucala", 2);
            other.setFetchesImmediately(true);
            const auto fetches = all<FetchDelta>(other.handleView(view, clock.now()));
            ASSERT_EQ(fetches.size(), 1U);
            EXPECT_EQ(fetches.front().scope, FetchScope::Everything);
        }
        for (const std::uint32_t megabits : { 0U, 200U }) {
            SCOPED_TRACE(megabits);
            setLink(megabits);
            ReplicaSync fast("walu", 2);
            fast.setFetchesImmediately(true);
            const auto fetches = all<FetchDelta>(fast.handleView(view, clock.now()));
            ASSERT_EQ(fetches.size(), 1U);
            EXPECT_EQ(fetches.front().scope, FetchScope::Everything);
        }
    }

    TEST_F(ReplicaSyncTest, LargeZoneSpreadsFetchesAndAnnouncesAnswers)
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

    TEST_F(ReplicaSyncTest, DeadMembersAreNotAsked)
    {
        for (Member& member : view->members)
            member.state = member.name == "walu-0" ? MemberState::Serving : MemberState::Dead;
        EXPECT_TRUE(all<FetchDelta>(setRevision("walu-2", 9)).empty());
    }

    // Guards against a restarted balancer that waits, while callers do, for one that ended before others noticed.
    TEST_F(ReplicaSyncTest, EmptyReplicaSoonAsksAnotherThanOneThatDoesNotAnswer)
    {
        // Callers repeat an opening that is lost after this time.
        constexpr auto callersRepeatAfter = 200ms;
        sync.setFetchesImmediately(true);
        const auto asked = all<FetchDelta>(setRevision("walu-1", 9));
        ASSERT_EQ(asked.size(), 1U);
        EXPECT_TRUE(all<FetchDelta>(setRevision("walu-2", 9)).empty());
        clock.advance(callersRepeatAfter);
        const auto again = all<FetchDelta>(sync.tick(clock.now()));
        ASSERT_EQ(again.size(), 1U);
        EXPECT_EQ(again.front().from, balancerIdOf("walu-2"));
        {
            SCOPED_TRACE("an answer that has begun is awaited for longer");
            sync.noteFetchProgress(clock.now());
            clock.advance(799ms);
            EXPECT_TRUE(all<FetchDelta>(sync.tick(clock.now())).empty());
        }
    }

    // Guards against balancers that wait for gossip, after a start of all, although others have read the store.
    // Guards against a wait for a push that nobody will send, since the watchers of the zone are lost.
    TEST_F(ReplicaSyncTest, WhatAnAskedPeerHasIsFetchedFromItAtOnce)
    {
        sync.handleStoreDelta({ 0, 5, true, false, {} }, clock.now());
        EXPECT_TRUE(sync.handleRevision(balancerIdOf("walu-2"), 7, false, clock.now()).empty());
        EXPECT_TRUE(sync.behindSince());
        const auto fetches = all<FetchDelta>(sync.handleRevision(balancerIdOf("walu-1"), 8, true, clock.now()));
        ASSERT_EQ(fetches.size(), 1U);
        EXPECT_EQ(fetches.front().from, balancerIdOf("walu-1"));
        EXPECT_EQ(fetches.front().after, 5U);
        {
            SCOPED_TRACE("another one is asked if the fetch fails");
            setRevision("walu-2", 8);
            const auto again = all<FetchDelta>(sync.handleFetchFailure(clock.now()));
            ASSERT_EQ(again.size(), 1U);
            EXPECT_EQ(again.front().from, balancerIdOf("walu-2"));
        }
    }

    TEST_F(ReplicaSyncTest, EmptyReplicaIsToldFromWhomItCanFetch)
    {
        ReplicaSync other("walu", 2);
        MembersView otherView = *view;
        otherView.self = balancerIdOf("walu-2");
        const Endpoint otherAddress = view->find(otherView.self)->peerAddress;
        other.setFetchesImmediately(true);
        other.handleView(std::make_shared<MembersView>(otherView), clock.now());
        const std::vector<RequestRevision> requests = all<RequestRevision>(other.tick(clock.now()));
        {
            SCOPED_TRACE("it asks others of its zone, and again after a while");
            ASSERT_EQ(requests.size(), 2U);
            EXPECT_EQ(all<RequestRevision>(other.tick(clock.now())).size(), 0U);
            clock.advance(200ms);
            EXPECT_EQ(all<RequestRevision>(other.tick(clock.now())).size(), 2U);
        }
        EXPECT_TRUE(sync.handleRevisionRequest(otherView.self, otherAddress).empty());
        {
            SCOPED_TRACE("it is not told before what the other one has received is applied");
            const StoreDelta snapshot { 0, 5, true, false, { { "servers/1", "walu", 5 } } };
            EXPECT_TRUE(all<PushDelta>(sync.handleStoreDelta(snapshot, clock.now())).empty());
            EXPECT_EQ(sync.servedRevision(), 0U);
        }
        const std::vector<PushDelta> pushes = all<PushDelta>(sync.handleApplied());
        EXPECT_EQ(sync.servedRevision(), 5U);
        ASSERT_EQ(pushes.size(), 1U);
        EXPECT_EQ(pushes.front().to, otherAddress);
        EXPECT_TRUE(pushes.front().piece->delta.items.empty());
        {
            SCOPED_TRACE("it fetches at once");
            const ReplicaSyncActions asked = other.handlePush(view->self, pushes.front().piece->delta, clock.now());
            EXPECT_EQ(all<FetchDelta>(asked).size(), 1U);
        }
        {
            SCOPED_TRACE("later requests are answered at once");
            EXPECT_EQ(all<PushDelta>(sync.handleRevisionRequest(otherView.self, otherAddress)).size(), 1U);
        }
    }

}

}
