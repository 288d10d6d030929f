#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // A live server with an open flow, beside another one, and entries of another writer.
    struct ForeignEntryTest : testing::Test, ForwardFixture {
        static constexpr std::uint64_t started = 1'770'000'000'000;
        static constexpr auto writeInterval = 770ms;
        RegisteredServer live = server(1);
        std::uint32_t acknowledged = 5001;

        ForeignEntryTest()
        {
            router.applyConfiguration(configuration(3));
            RegisteredServer other = server(2);
            live.startedAt = other.startedAt = started;
            put(live);
            put(other);
            advance(3s);
        }

        void advance(Duration time, bool isAnswering = true)
        {
            constexpr auto step = 10ms;
            for (Duration passed {}; passed < time; passed += step) {
                clock.advance(step);
                router.noteStoreContact(clock.now());
                router.tick(clock.now());
                if (isAnswering)
                    expectOpenFlow(PacketReason::Established, acknowledged += 10);
            }
        }

        void expectOpenFlow(PacketReason reason) { expectOpenFlow(reason, acknowledged); }
        void expectOpenFlow(PacketReason reason, std::uint32_t acknowledgement)
        {
            const PacketDecision decision = route(data(1, tokenOf(live.number), 1001, acknowledgement));
            ASSERT_EQ(nameOf(decision.reason), nameOf(reason));
            if (reason == PacketReason::Established) {
                EXPECT_EQ(decision.server->entry.address, live.address);
                EXPECT_EQ(decision.server->entry.service, live.service);
            }
        }

        // Whether new flows of the route reach the server with this id.
        bool getsFlows(const std::string& id, Endpoint route = tryonRoute)
        {
            for (std::uint32_t caller = 1000; caller < 1060; ++caller) {
                const PacketDecision decision = router.route(opening(caller, 0, route), clock.now());
                if (decision.server && decision.server->entry.id == id)
                    return true;
            }
            return false;
        }

        RegisteredServer copyUnderAnotherId() const
        {
            RegisteredServer copy = live;
            copy.id = server(9).id;
            copy.number = 9;
            copy.startedAt = started + 60'000;
            return copy;
        }
    };

    // Guards against an entry of another writer that ends a live server by its address, and resets its flows.
    TEST_F(ForeignEntryTest, CopyOfAnUnnamedServiceUnderAnotherIdChangesNothing)
    {
        RegisteredServer copy = copyUnderAnotherId();
        copy.service = "unnamed";
        put(copy);
        expectOpenFlow(PacketReason::Established);
        EXPECT_TRUE(getsFlows(live.id));
        advance(12s);
        EXPECT_TRUE(getsFlows(live.id));
        EXPECT_EQ(router.directory().find(copy.id), nullptr);
    }

    // Guards against a live server that stays out of use since its own entry is taken for a delayed write.
    TEST_F(ForeignEntryTest, OwnEntryRestoresAnOverwrittenServerAtOnce)
    {
        RegisteredServer foreign = live;
        foreign.startedAt += 60'000;
        for (const std::string service : { "unnamed", "scanintake" }) {
            SCOPED_TRACE(service);
            foreign.service = service;
            put(foreign);
            EXPECT_FALSE(getsFlows(live.id));
            EXPECT_FALSE(getsFlows(live.id, scanRoute));
            advance(writeInterval);
            EXPECT_FALSE(getsFlows(live.id, scanRoute));
            put(live);
            EXPECT_TRUE(getsFlows(live.id));
            expectOpenFlow(PacketReason::Established);
        }
    }

    // Guards against requests of another service that reach a server whose key was overwritten.
    TEST_F(ForeignEntryTest, EntryWithoutAStartTimeMovesNoServer)
    {
        RegisteredServer foreign = live;
        foreign.startedAt = 0;
        foreign.service = "scanintake";
        put(foreign);
        EXPECT_FALSE(getsFlows(live.id));
        EXPECT_FALSE(getsFlows(live.id, scanRoute));
        advance(writeInterval);
        EXPECT_FALSE(getsFlows(live.id, scanRoute));
        put(live);
        EXPECT_TRUE(getsFlows(live.id));
    }

    // Guards against resetting the flows of a live server where entries have no start times and a balancer that has
    // just started processes the entry of the dead server at its address last.
    TEST_F(ForeignEntryTest, DelayedWriteOfADeadServerEndsNoLiveOne)
    {
        TokenRouter starting(settings());
        starting.applyConfiguration(configuration(3));
        live.startedAt = 0;
        RegisteredServer dead = copyUnderAnotherId();
        dead.startedAt = 0;
        starting.putServer(live, 71, clock.now());
        clock.advance(1ms);
        starting.putServer(dead, 90, clock.now());
        const auto expectForwarded = [&] {
            EXPECT_EQ(starting.route(data(1, tokenOf(live.number)), clock.now()).verdict, PacketVerdict::Forward);
        };
        expectForwarded();
        for (int i = 0; i < 30; ++i) {
            clock.advance(100ms);
            starting.tick(clock.now());
            expectForwarded();
        }
        starting.removeServer(dead.id, false, clock.now());
        clock.advance(1s);
        starting.tick(clock.now());
        EXPECT_TRUE(starting.directory().find(live.id)->mayTakeFlows());
    }

    // Guards against callers who wait in vain at servers that crashed together, whose entries are removed in doubt.
    TEST_F(ForeignEntryTest, ServersThatCrashTogetherEndSoonAfterTheirAddressesAreReused)
    {
        advance(2300ms, false);
        router.removeServer(live.id, true, clock.now());
        expectOpenFlow(PacketReason::Established, acknowledged);
        put(copyUnderAnotherId());
        advance(RouterSettings().directory.entries.removalConfirmationTime + 100ms, false);
        expectOpenFlow(PacketReason::ServerEnded, acknowledged);
        {
            SCOPED_TRACE("without start times the removal must be beyond doubt");
            RegisteredServer former = server(3);
            RegisteredServer newer = server(4);
            former.startedAt = newer.startedAt = 0;
            ForwardFixture other;
            other.router.applyConfiguration(configuration(3));
            newer.address = former.address;
            other.put(former);
            other.route(other.opening(7));
            other.clock.advance(3s);
            other.router.removeServer(former.id, true, other.clock.now());
            other.put(newer);
            other.clock.advance(1900ms);
            other.router.tick(other.clock.now());
            EXPECT_EQ(other.router.directory().find(former.id)->state, ServerState::Doubtful);
        }
    }

    // Guards against an idle server that is taken for ended, and against requests of another service to its address.
    TEST_F(ForeignEntryTest, LaterEntryOfANamedServiceAtTheAddressIsUsedOnlyAfterTheFormerServerEnded)
    {
        for (const bool isAnswering : { true, false }) {
            SCOPED_TRACE(isAnswering);
            RegisteredServer newer = copyUnderAnotherId();
            newer.service = "scanintake";
            put(newer);
            EXPECT_FALSE(getsFlows(live.id));
            advance(9s, isAnswering);
            EXPECT_FALSE(getsFlows(newer.id, scanRoute));
            expectOpenFlow(PacketReason::Established);
            advance(1100ms, isAnswering);
            EXPECT_TRUE(getsFlows(live.id));
            EXPECT_FALSE(getsFlows(newer.id, scanRoute));
            router.removeServer(newer.id, false, clock.now());
        }
        RegisteredServer newer = copyUnderAnotherId();
        newer.service = "scanintake";
        put(newer);
        {
            SCOPED_TRACE("its own entry is unreadable, or missing for less than the time in which it is written again");
            router.invalidateServer(live.id, ++revision, clock.now());
            advance(2500ms, false);
            expectOpenFlow(PacketReason::Established);
            router.removeServer(live.id, true, clock.now());
            advance(900ms, false);
            expectOpenFlow(PacketReason::Established);
            put(live);
        }
        {
            SCOPED_TRACE("its own entry is gone, and it still answers");
            router.removeServer(live.id, false, clock.now());
            advance(3s);
            expectOpenFlow(PacketReason::Established);
            EXPECT_FALSE(getsFlows(newer.id, scanRoute));
        }
        {
            SCOPED_TRACE("it answers no more");
            advance(2010ms, false);
            expectOpenFlow(PacketReason::ServerEnded);
            EXPECT_TRUE(getsFlows(newer.id, scanRoute));
            EXPECT_FALSE(getsFlows(live.id));
        }
    }

    TEST_F(ForeignEntryTest, CrashedServerWhoseAddressIsReusedEndsSoonAfterItsEntry)
    {
        advance(2s, false);
        RegisteredServer newer = copyUnderAnotherId();
        put(newer);
        advance(300ms, false);
        router.removeServer(live.id, false, clock.now());
        advance(1010ms, false);
        expectOpenFlow(PacketReason::ServerEnded);
        EXPECT_TRUE(getsFlows(newer.id));
    }

    TEST_F(ForeignEntryTest, ServerChangesItsServiceAfterItsFormerProcessIsSilent)
    {
        RegisteredServer restarted = live;
        restarted.startedAt += 60'000;
        restarted.service = "scanintake";
        put(restarted);
        advance(3s);
        EXPECT_FALSE(getsFlows(live.id));
        EXPECT_FALSE(getsFlows(live.id, scanRoute));
        advance(2010ms, false);
        EXPECT_TRUE(getsFlows(live.id, scanRoute));
        EXPECT_FALSE(getsFlows(live.id));
        expectOpenFlow(PacketReason::ServerEnded);
    }

    // Guards against a server that stays out of use after its clock was set back between two starts.
    TEST_F(ForeignEntryTest, EntryWithAnEarlierStartIsAppliedIfNoneFollows)
    {
        RegisteredServer earlier = live;
        earlier.startedAt -= 60'000;
        put(earlier);
        EXPECT_TRUE(getsFlows(live.id));
        advance(9900ms);
        EXPECT_EQ(router.directory().find(live.id)->entry.startedAt, live.startedAt);
        advance(200ms);
        EXPECT_EQ(router.directory().find(live.id)->entry.startedAt, earlier.startedAt);
        EXPECT_TRUE(getsFlows(live.id));
        {
            SCOPED_TRACE("a delayed write is overwritten by the living server");
            RegisteredServer delayed = earlier;
            delayed.startedAt -= 60'000;
            put(delayed);
            advance(writeInterval);
            put(earlier);
            advance(12s);
            EXPECT_EQ(router.directory().find(live.id)->entry.startedAt, earlier.startedAt);
        }
    }

    TEST_F(ForeignEntryTest, HeldEntryIsAppliedWhenAConfigurationNamesItsService)
    {
        RegisteredServer early = server(7, "later");
        early.startedAt = started;
        put(early);
        EXPECT_EQ(router.directory().find(early.id), nullptr);
        ForwardingConfiguration next = configuration(4);
        next.services.insert("later");
        router.applyConfiguration(next);
        router.tick(clock.now());
        ASSERT_NE(router.directory().find(early.id), nullptr);
        EXPECT_TRUE(router.directory().find(early.id)->mayTakeFlows());
        {
            SCOPED_TRACE("a service that only an earlier configuration names still counts as named");
            router.applyConfiguration(configuration(5));
            put(early);
            router.tick(clock.now());
            EXPECT_TRUE(router.directory().find(early.id)->mayTakeFlows());
        }
    }

    TEST_F(ForeignEntryTest, OrderOfAListingDoesNotDecideAboutMissingStartTimes)
    {
        std::vector<RegisteredServer> listing;
        for (std::uint64_t number = 1; number <= 5; ++number) {
            listing.push_back(server(number));
            listing.back().startedAt = number <= 3 ? started : 0;
        }
        for (int order = 0; order < 2; ++order) {
            SCOPED_TRACE(order);
            TokenRouter starting(settings());
            starting.applyConfiguration(configuration(3));
            for (const RegisteredServer& entry : listing)
                starting.putServer(entry, ++revision, clock.now());
            EXPECT_EQ(starting.directory().countOf(ServerState::Ready), 3U);
            {
                SCOPED_TRACE("most servers no longer tell one");
                starting.removeServer(server(1).id, false, clock.now());
                starting.removeServer(server(2).id, false, clock.now());
                starting.tick(clock.now());
                EXPECT_EQ(starting.directory().countOf(ServerState::Ready), 3U);
                EXPECT_TRUE(starting.directory().find(server(4).id)->mayTakeFlows());
            }
            std::ranges::reverse(listing);
        }
    }

    // Guards against open flows whose packets are dropped by each balancer that has started after the last
    // configuration that named their service.
    TEST_F(ForeignEntryTest, StartingBalancerForwardsOpenFlowsOfAServiceThatIsNoLongerNamed)
    {
        RegisteredServer retired = server(7, "retired");
        RegisteredServer foreign = server(8, "another");
        foreign.address = live.address;
        for (const bool isConfigurationFirst : { true, false }) {
            SCOPED_TRACE(isConfigurationFirst);
            TokenRouter starting(settings());
            if (isConfigurationFirst)
                starting.applyConfiguration(configuration(4));
            for (const RegisteredServer& entry : { live, retired, foreign })
                starting.putServer(entry, ++revision, clock.now());
            if (!isConfigurationFirst)
                starting.applyConfiguration(configuration(4));
            const PacketDecision decision = starting.route(data(1, tokenOf(retired.number)), clock.now());
            ASSERT_EQ(nameOf(decision.verdict), "forward");
            EXPECT_EQ(decision.server->entry.address, retired.address);
            for (std::uint32_t caller = 1000; caller < 1060; ++caller)
                EXPECT_EQ(starting.route(opening(caller), clock.now()).server->entry.id, live.id);
            {
                SCOPED_TRACE("but not at the address of a server of a named service");
                EXPECT_EQ(starting.route(data(1, tokenOf(foreign.number)), clock.now()).verdict, PacketVerdict::Drop);
            }
            {
                SCOPED_TRACE("until its entry is removed");
                starting.removeServer(retired.id, false, clock.now());
                EXPECT_EQ(starting.route(data(1, tokenOf(retired.number)), clock.now()).verdict, PacketVerdict::Drop);
            }
        }
    }

    // Guards against a log that fills with one entry that its writer repeats.
    TEST_F(ForeignEntryTest, ConflictIsReportedOnceUntilTheEntryChanges)
    {
        RegisteredServer copy = copyUnderAnotherId();
        copy.service = "unnamed";
        copy.warmupLeft = 5s;
        put(copy);
        ASSERT_EQ(router.directory().takeConflicts().size(), 1U);
        copy.warmupLeft = 4s;
        put(copy);
        advance(1s);
        EXPECT_TRUE(router.directory().takeConflicts().empty());
        copy.startedAt += 1;
        put(copy);
        EXPECT_EQ(router.directory().takeConflicts().size(), 1U);
        {
            SCOPED_TRACE("it names the key and the live server");
            copy.service = live.service;
            put(copy);
            const auto conflicts = router.directory().takeConflicts();
            ASSERT_EQ(conflicts.size(), 1U);
            EXPECT_EQ(conflicts[0].id, copy.id);
            EXPECT_EQ(conflicts[0].server, live.id);
            EXPECT_EQ(nameOf(conflicts[0].reason), "address_in_use");
        }
        EXPECT_EQ(router.directory().countOf(EntryOutcome::Contradicted), 1U);
        EXPECT_EQ(router.directory().countOf(EntryOutcome::Held), 2U);
    }

}

}
