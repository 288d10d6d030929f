#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <set>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct TokenRouterTest : testing::Test, ForwardFixture {
        TokenRouterTest()
        {
            router.applyConfiguration(configuration(3));
            for (const std::uint64_t number : { 1, 2, 3 })
                put(server(number));
            put(server(11, "scanintake"));
        }
    };

    TEST_F(TokenRouterTest, EveryBalancerRoutesAFlowToItsServer)
    {
        const PacketDecision opened = route(opening(1));
        ASSERT_EQ(opened.verdict, PacketVerdict::Forward);
        EXPECT_EQ(opened.reason, PacketReason::Opened);
        const std::uint32_t token = opened.server->token;

        TokenRouter other(settings());
        other.applyConfiguration(configuration(3));
        for (const std::uint64_t number : { 1, 2, 3 })
            other.putServer(server(number), number, clock.now());
        const PacketDecision later = other.route(data(1, token), clock.now());
        EXPECT_EQ(later.reason, PacketReason::Established);
        EXPECT_EQ(later.server->entry.id, opened.server->entry.id);
    }

    TEST_F(TokenRouterTest, EveryRouteUsesItsOwnService)
    {
        for (std::uint32_t caller = 0; caller < 50; ++caller) {
            EXPECT_EQ(route(opening(caller)).server->entry.service, "tryon");
            EXPECT_EQ(route(opening(caller, 0, scanRoute)).server->entry.service, "scanintake");
        }
    }

    // Guards against resetting open flows at a balancer that has not read the configuration and the directory yet.
    TEST_F(TokenRouterTest, BalancerWithoutConfigurationResetsNothing)
    {
        TokenRouter fresh(settings());
        for (const std::uint32_t copies : { 0U, 1U, 2U }) {
            const PacketDecision decision = fresh.route(opening(1, copies), clock.now());
            EXPECT_EQ(decision.verdict, PacketVerdict::Drop);
            EXPECT_EQ(decision.reason, PacketReason::NoConfiguration);
        }
        const PacketDecision unknown = fresh.route(data(1, 77), clock.now());
        EXPECT_EQ(unknown.verdict, PacketVerdict::Drop);
        EXPECT_EQ(unknown.reason, PacketReason::TokenUnknown);
    }

    TEST_F(TokenRouterTest, PacketWithAnUnknownTokenIsDropped)
    {
        const PacketDecision decision = route(data(1, 0xDEADBEEF));
        EXPECT_EQ(decision.verdict, PacketVerdict::Drop);
        EXPECT_EQ(decision.server, nullptr);
        EXPECT_EQ(route(data(1, 0)).reason, PacketReason::TokenMissing);
    }

    TEST_F(TokenRouterTest, AnswersToOpeningsAreDropped)
    {
        TokenPacket packet = opening(1);
        packet.acknowledges = true;
        EXPECT_EQ(route(packet).verdict, PacketVerdict::Drop);
        EXPECT_EQ(route(packet).reason, PacketReason::ForeignAnswer);
    }

    TEST_F(TokenRouterTest, LastCopyWithoutARouteOrServerIsReset)
    {
        const Endpoint unknownRoute { 0xC6120009, 80 };
        EXPECT_EQ(route(opening(1, 0, unknownRoute)).verdict, PacketVerdict::Drop);
        EXPECT_EQ(route(opening(1, 1, unknownRoute)).verdict, PacketVerdict::Drop);
        const PacketDecision last = route(opening(1, 2, unknownRoute));
        EXPECT_EQ(last.verdict, PacketVerdict::Reset);
        EXPECT_EQ(last.reason, PacketReason::NoRoute);

        router.removeServer(server(11).id, false, clock.now());
        EXPECT_EQ(route(opening(2, 2, scanRoute)).reason, PacketReason::NoServer);
        EXPECT_EQ(route(opening(2, 2, scanRoute)).verdict, PacketVerdict::Reset);
    }

    TEST_F(TokenRouterTest, OlderConfigurationIsIgnored)
    {
        ForwardingConfiguration newer = configuration(9);
        newer.routes.pop_back();
        EXPECT_TRUE(router.applyConfiguration(newer));
        EXPECT_FALSE(router.applyConfiguration(configuration(8)));
        EXPECT_FALSE(router.applyConfiguration(newer));
        EXPECT_EQ(router.configurationVersion(), 9U);
        EXPECT_EQ(route(opening(1, 2, scanRoute)).reason, PacketReason::NoRoute);
    }

    TEST_F(TokenRouterTest, OpenFlowsStayAfterAConfigurationChange)
    {
        const std::uint32_t token = openFlow(1);
        const std::string server = router.directory().findByToken(token)->entry.id;
        ForwardingConfiguration moved = configuration(9);
        moved.routes.front().shares = { { "scanintake", 1 } };
        router.applyConfiguration(moved);
        EXPECT_EQ(route(data(1, token)).server->entry.id, server);
        EXPECT_EQ(route(opening(2)).server->entry.service, "scanintake");
    }

    // Guards against new flows to a server that started to drain after it got the original opening packet.
    TEST_F(TokenRouterTest, CopyAvoidsAServerThatDrainsMeanwhile)
    {
        const std::string first = route(opening(1)).server->entry.id;
        RegisteredServer draining = router.directory().find(first)->entry;
        draining.readiness = ServerReadiness::Draining;
        put(draining);
        clock.advance(200ms);
        const PacketDecision copy = route(opening(1, 1));
        EXPECT_EQ(copy.reason, PacketReason::OpenedElsewhere);
        EXPECT_NE(copy.server->entry.id, first);
    }

    // Guards against two servers that answer one opening, which leaves the caller with the sequence number of one
    // server and the token of the other.
    TEST_F(TokenRouterTest, CopyGoesToTheSameServerWhileItAnswers)
    {
        const PacketDecision first = route(opening(1));
        const std::string id = first.server->entry.id;
        const std::uint32_t token = first.server->token;
        clock.advance(100ms);
        route(data(50, token, 1001, 5001, 0));
        clock.advance(1ms);
        route(data(50, token, 1001, 5100, 0));
        clock.advance(99ms);
        const PacketDecision copy = route(opening(1, 1));
        EXPECT_EQ(copy.reason, PacketReason::OpenedAgain);
        EXPECT_EQ(copy.server->entry.id, id);
    }

    TEST_F(TokenRouterTest, LateCopyOfAnOpenFlowChangesNothing)
    {
        const std::uint32_t token = openFlow(1);
        clock.advance(300ms);
        const PacketDecision copy = route(opening(1, 1));
        EXPECT_EQ(copy.reason, PacketReason::OpenedAgain);
        EXPECT_EQ(copy.server->token, token);
        EXPECT_EQ(route(data(1, token, 1001, 5001, 50)).server->token, token);
    }

    // Guards against new flows to a crashed server until its entry expires.
    TEST_F(TokenRouterTest, UnresponsiveServerIsEjectedAndGetsOneTrialFlowAtATime)
    {
        const std::string crashed = route(opening(1)).server->entry.id;
        clock.advance(200ms);
        {
            SCOPED_TRACE("the copy goes to another server");
            const PacketDecision copy = route(opening(1, 1));
            EXPECT_NE(copy.server->entry.id, crashed);
            ASSERT_EQ(copy.choice.ejected.size(), 1U);
            EXPECT_EQ(copy.choice.ejected.front()->entry.id, crashed);
        }
        const auto countTo = [&](std::uint32_t from, std::uint32_t flows) {
            int count = 0;
            for (std::uint32_t caller = from; caller < from + flows; ++caller) {
                const PacketDecision decision = route(opening(caller));
                const std::string chosen = decision.server->entry.id;
                const std::uint32_t token = decision.server->token;
                count += chosen == crashed;
                clock.advance(2ms);
                if (chosen != crashed)
                    route(data(caller, token, 1001, 5001, 0));
            }
            return count;
        };
        {
            SCOPED_TRACE("new flows avoid the ejected server");
            EXPECT_EQ(countTo(100, 60), 0);
        }
        {
            SCOPED_TRACE("after the ejection it gets one trial flow");
            clock.advance(600ms);
            EXPECT_EQ(countTo(200, 60), 1);
        }
        {
            SCOPED_TRACE("an answer ends the ejection");
            const std::uint32_t token = router.directory().find(crashed)->token;
            route(data(900, token, 1001, 5001, 0));
            EXPECT_TRUE(route(data(900, token, 1001, 5100, 0)).progress.hasRecovered);
            EXPECT_GT(countTo(300, 60), 10);
        }
    }

    // Guards against ejecting servers after a start for openings that their callers had given up meanwhile.
    TEST_F(TokenRouterTest, OpeningsThatWaitedForTheStartEjectNoServer)
    {
        for (const bool haveWaited : { false, true }) {
            SCOPED_TRACE(haveWaited);
            TokenRouter started(settings());
            started.applyConfiguration(configuration(3));
            for (std::uint64_t number = 1; number <= 5; ++number)
                started.putServer(server(number), number, clock.now());
            started.setPacketsHaveWaited(haveWaited);
            for (std::uint32_t caller = 0; caller < 50; ++caller)
                EXPECT_EQ(started.route(opening(caller), clock.now()).verdict, PacketVerdict::Forward);
            started.setPacketsHaveWaited(false);
            clock.advance(200ms);
            const OpeningChoice choice = started.route(opening(100), clock.now()).choice;
            EXPECT_EQ(choice.ejected.empty(), haveWaited);
            EXPECT_EQ(choice.isLastResort, !haveWaited);
            {
                SCOPED_TRACE("later ones do");
                clock.advance(200ms);
                EXPECT_FALSE(started.route(opening(101), clock.now()).choice.ejected.empty());
            }
        }
    }

    TEST_F(TokenRouterTest, FlowsAreForwardedWhileAllServersAreUnresponsive)
    {
        for (std::uint32_t caller = 0; caller < 20; ++caller) {
            for (const std::uint32_t copies : { 0U, 1U, 2U }) {
                EXPECT_EQ(route(opening(caller, copies)).verdict, PacketVerdict::Forward);
                clock.advance(200ms);
            }
        }
        EXPECT_NE(route(opening(99)).server, nullptr);
    }

    // Guards against callers that wait for a server whose address was reused.
    TEST_F(TokenRouterTest, FlowsOfAnEndedServerAreReset)
    {
        const std::uint32_t token = openFlow(1);
        const RegisteredServer former = router.directory().findByToken(token)->entry;
        RegisteredServer next = server(77, "scanintake");
        next.address = former.address;
        // The platform reuses an address two seconds after its server has ended.
        clock.advance(2s);
        put(next);
        EXPECT_EQ(route(data(1, token, 1101, 5001, 0)).verdict, PacketVerdict::Forward);
        router.removeServer(former.id, false, clock.now());
        clock.advance(1s);
        router.tick(clock.now());
        const PacketDecision decision = route(data(1, token, 1101));
        EXPECT_EQ(decision.verdict, PacketVerdict::Reset);
        EXPECT_EQ(decision.reason, PacketReason::ServerEnded);
    }

    // Guards against routing flows of a former process to another service, since a restarted server keeps its token.
    TEST_F(TokenRouterTest, FlowsOfAFormerProcessNeverReachAnotherService)
    {
        RegisteredServer entry = server(1);
        entry.startedAt = 1000;
        put(entry);
        const std::uint32_t token = tokenOf(entry.number);
        router.route(opening(1), clock.now());
        router.route(data(1, token), clock.now());
        EXPECT_EQ(router.directory().find(entry.id)->seen.busy, 1U);
        {
            SCOPED_TRACE("same service: packets are forwarded, and the server itself resets former flows");
            entry.startedAt = 2000;
            put(entry);
            EXPECT_EQ(router.flows().size(), 0U);
            EXPECT_EQ(router.directory().find(entry.id)->seen.busy, 0U);
            EXPECT_EQ(router.route(data(1, token), clock.now()).verdict, PacketVerdict::Forward);
        }
        {
            SCOPED_TRACE("another service: former flows are reset, and new ones are forwarded");
            entry.startedAt = 3000;
            entry.service = "scanintake";
            put(entry);
            EXPECT_FALSE(router.directory().find(entry.id)->mayTakeFlows());
            clock.advance(2s);
            router.noteStoreContact(clock.now());
            router.tick(clock.now());
            EXPECT_TRUE(router.directory().find(entry.id)->mayTakeFlows());
            const PacketDecision former = router.route(data(1, token), clock.now());
            EXPECT_EQ(former.verdict, PacketVerdict::Reset);
            EXPECT_EQ(former.reason, PacketReason::ServerEnded);
            EXPECT_EQ(
                router.route(data(2, token, 1001, 5001, 100, scanRoute), clock.now()).verdict, PacketVerdict::Forward);
        }
        {
            SCOPED_TRACE("new flows are still forwarded after their route uses another service");
            ForwardingConfiguration moved = configuration(50);
            moved.routes[1].shares = { { "elsewhere", 1 } };
            router.applyConfiguration(moved);
            EXPECT_EQ(
                router.route(data(2, token, 1101, 5001, 100, scanRoute), clock.now()).verdict, PacketVerdict::Forward);
        }
    }

    // Guards against a non-idempotent request that runs twice because its packets reach a second server after the
    // answer to the opening or to the request was lost.
    TEST_F(TokenRouterTest, RequestBytesOnlyEverReachTheServerThatTheCallerOpenedTheFlowAt)
    {
        const std::uint32_t first = route(opening(1)).server->token;
        clock.advance(200ms);
        const std::uint32_t second = route(opening(1, 1)).server->token;
        ASSERT_NE(first, second);
        for (const std::uint32_t opened : { first, second }) {
            SCOPED_TRACE(opened);
            const std::uint32_t caller = opened == first ? 1 : 2;
            EXPECT_EQ(route(data(caller, opened, 1001, 5001, 0)).server->token, opened);
            for (int retransmission = 0; retransmission < 8; ++retransmission) {
                const PacketDecision decision = route(data(caller, opened));
                EXPECT_EQ(decision.verdict, PacketVerdict::Forward);
                EXPECT_EQ(decision.server->token, opened);
                clock.advance(400ms);
                router.tick(clock.now());
            }
        }
        {
            SCOPED_TRACE("also after the server has been ejected and its entry has vanished");
            for (std::uint32_t caller = 100; caller < 140; ++caller)
                route(opening(caller));
            clock.advance(300ms);
            for (std::uint32_t caller = 140; caller < 180; ++caller)
                route(opening(caller));
            router.removeServer(router.directory().findByToken(first)->entry.id, false, clock.now());
            EXPECT_EQ(route(data(1, first)).server->token, first);
            EXPECT_EQ(route(data(1, first)).verdict, PacketVerdict::Forward);
        }
    }

    TEST_F(TokenRouterTest, FlowsStayAfterTheEntryOfTheirServerVanished)
    {
        const std::uint32_t token = openFlow(1);
        const std::string id = router.directory().findByToken(token)->entry.id;
        router.removeServer(id, false, clock.now());
        clock.advance(50s);
        router.tick(clock.now());
        EXPECT_EQ(route(data(1, token, 1101)).verdict, PacketVerdict::Forward);
        for (std::uint32_t caller = 100; caller < 150; ++caller)
            EXPECT_NE(route(opening(caller)).server->entry.id, id);
    }

}

}
