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

    TEST_F(TokenRouterTest, aFlowStaysAtItsServerThroughEveryBalancer)
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

    TEST_F(TokenRouterTest, everyRouteLeadsToItsOwnService)
    {
        for (std::uint32_t caller = 0; caller < 50; ++caller) {
            EXPECT_EQ(route(opening(caller)).server->entry.service, "tryon");
            EXPECT_EQ(route(opening(caller, 0, scanRoute)).server->entry.service, "scanintake");
        }
    }

    // Symptom: open flows were reset at the start and the stop of balancers.
    // Sequence: a balancer starts and gets packets of open flows before it has read the directory.
    // Cause: not knowing a route or a token was taken for knowing that there is none.
    TEST_F(TokenRouterTest, aBalancerThatKnowsNothingResetsNothing)
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

    TEST_F(TokenRouterTest, aMadeUpTokenIsNeverGuessed)
    {
        const PacketDecision decision = route(data(1, 0xDEADBEEF));
        EXPECT_EQ(decision.verdict, PacketVerdict::Drop);
        EXPECT_EQ(decision.server, nullptr);
        EXPECT_EQ(route(data(1, 0)).reason, PacketReason::TokenMissing);
    }

    TEST_F(TokenRouterTest, answersToOpeningsNeverGoToServers)
    {
        TokenPacket packet = opening(1);
        packet.acknowledges = true;
        EXPECT_EQ(route(packet).verdict, PacketVerdict::Drop);
        EXPECT_EQ(route(packet).reason, PacketReason::ForeignAnswer);
    }

    TEST_F(TokenRouterTest, whatCannotBeServedIsToldWithTheLastCopy)
    {
        const Endpoint nowhere { 0xC6120009, 80 };
        EXPECT_EQ(route(opening(1, 0, nowhere)).verdict, PacketVerdict::Drop);
        EXPECT_EQ(route(opening(1, 1, nowhere)).verdict, PacketVerdict::Drop);
        const PacketDecision last = route(opening(1, 2, nowhere));
        EXPECT_EQ(last.verdict, PacketVerdict::Reset);
        EXPECT_EQ(last.reason, PacketReason::NoRoute);

        router.removeServer(server(11).id, false, clock.now());
        EXPECT_EQ(route(opening(2, 2, scanRoute)).reason, PacketReason::NoServer);
        EXPECT_EQ(route(opening(2, 2, scanRoute)).verdict, PacketVerdict::Reset);
    }

    TEST_F(TokenRouterTest, versionsNeverGoBack)
    {
        ForwardingConfiguration newer = configuration(9);
        newer.routes.pop_back();
        EXPECT_TRUE(router.applyConfiguration(newer));
        EXPECT_FALSE(router.applyConfiguration(configuration(8)));
        EXPECT_FALSE(router.applyConfiguration(newer));
        EXPECT_EQ(router.configurationVersion(), 9U);
        EXPECT_EQ(route(opening(1, 2, scanRoute)).reason, PacketReason::NoRoute);
    }

    TEST_F(TokenRouterTest, aNewConfigurationLeavesOpenFlowsWhereTheyAre)
    {
        const std::uint32_t token = openFlow(1);
        const std::string server = router.directory().findByToken(token)->entry.id;
        ForwardingConfiguration moved = configuration(9);
        moved.routes.front().shares = { { "scanintake", 1 } };
        router.applyConfiguration(moved);
        EXPECT_EQ(route(data(1, token)).server->entry.id, server);
        EXPECT_EQ(route(opening(2)).server->entry.service, "scanintake");
    }

    // Symptom: a leaving server still got new flows long after it had said so.
    // Sequence: it drains while the copy of an opening packet that went to it is on its way.
    // Cause: copies followed the first choice without looking at it again.
    TEST_F(TokenRouterTest, aCopyDoesNotFollowToAServerThatDrainsMeanwhile)
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

    // Symptom: a flow opened but never worked.
    // Sequence: the answer to the opening packet is lost, and the copy goes to another server, so that both answer.
    // Cause: the caller then holds the sequence of one server and the token of the other.
    TEST_F(TokenRouterTest, aCopyGoesToTheSameServerWhileThatOneGivesSignsOfLife)
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

    TEST_F(TokenRouterTest, aLateCopyOfAnOpenFlowChangesNothing)
    {
        const std::uint32_t token = openFlow(1);
        clock.advance(300ms);
        const PacketDecision copy = route(opening(1, 1));
        EXPECT_EQ(copy.reason, PacketReason::OpenedAgain);
        EXPECT_EQ(copy.server->token, token);
        EXPECT_EQ(route(data(1, token, 1001, 5001, 50)).server->token, token);
    }

    // Symptom: every fourth new flow waited for 200 ms until the entry of a dead server lapsed.
    // Sequence: a server dies silently; its entry stays for three heartbeats.
    // Cause: only the directory decided who gets new flows.
    TEST_F(TokenRouterTest, aSilentServerIsLeftOutAndTriedAgainByOneFlowAtATime)
    {
        const std::string dead = route(opening(1)).server->entry.id;
        clock.advance(200ms);
        {
            SCOPED_TRACE("the copy goes elsewhere");
            const PacketDecision copy = route(opening(1, 1));
            EXPECT_NE(copy.server->entry.id, dead);
            ASSERT_EQ(copy.choice.ejected.size(), 1U);
            EXPECT_EQ(copy.choice.ejected.front()->entry.id, dead);
        }
        const auto countTo = [&](std::uint32_t from, std::uint32_t flows) {
            int count = 0;
            for (std::uint32_t caller = from; caller < from + flows; ++caller) {
                const PacketDecision decision = route(opening(caller));
                const std::string chosen = decision.server->entry.id;
                const std::uint32_t token = decision.server->token;
                count += chosen == dead;
                clock.advance(2ms);
                if (chosen != dead)
                    route(data(caller, token, 1001, 5001, 0));
            }
            return count;
        };
        {
            SCOPED_TRACE("new flows avoid it");
            EXPECT_EQ(countTo(100, 60), 0);
        }
        {
            SCOPED_TRACE("after the pause one flow tries it");
            clock.advance(600ms);
            EXPECT_EQ(countTo(200, 60), 1);
        }
        {
            SCOPED_TRACE("a sign of life brings it back");
            const std::uint32_t token = router.directory().find(dead)->token;
            route(data(900, token, 1001, 5001, 0));
            EXPECT_TRUE(route(data(900, token, 1001, 5100, 0)).progress.hasRecovered);
            EXPECT_GT(countTo(300, 60), 10);
        }
    }

    TEST_F(TokenRouterTest, whenAllAreSilentTheyAreTriedAllTheSame)
    {
        for (std::uint32_t caller = 0; caller < 20; ++caller) {
            for (const std::uint32_t copies : { 0U, 1U, 2U }) {
                EXPECT_EQ(route(opening(caller, copies)).verdict, PacketVerdict::Forward);
                clock.advance(200ms);
            }
        }
        EXPECT_NE(route(opening(99)).server, nullptr);
    }

    // Symptom: callers of a replaced server waited for the end of their time.
    // Sequence: the server is gone for good and another one has its address; packets of its flows still arrive.
    // Cause: nobody told the callers, who could have asked again.
    TEST_F(TokenRouterTest, flowsOfAnEndedServerAreReset)
    {
        const std::uint32_t token = openFlow(1);
        const RegisteredServer former = router.directory().findByToken(token)->entry;
        RegisteredServer next = server(77, "scanintake");
        next.address = former.address;
        // The platform gives an address away two seconds after its server ended.
        clock.advance(2s);
        put(next);
        const PacketDecision decision = route(data(1, token, 1101));
        EXPECT_EQ(decision.verdict, PacketVerdict::Reset);
        EXPECT_EQ(decision.reason, PacketReason::ServerEnded);
    }

    // A token names the id, and so another process once the server has started again.
    TEST_F(TokenRouterTest, flowsOfAFormerProcessNeverReachAnotherService)
    {
        RegisteredServer entry = server(1);
        entry.startedAt = 1000;
        put(entry);
        const std::uint32_t token = tokenOf(entry.number);
        router.route(opening(1), clock.now());
        router.route(data(1, token), clock.now());
        EXPECT_EQ(router.directory().find(entry.id)->seen.busy, 1U);
        {
            SCOPED_TRACE("under the same service it tells its former callers itself");
            entry.startedAt = 2000;
            put(entry);
            EXPECT_EQ(router.flows().size(), 0U);
            EXPECT_EQ(router.directory().find(entry.id)->seen.busy, 0U);
            EXPECT_EQ(router.route(data(1, token), clock.now()).verdict, PacketVerdict::Forward);
        }
        {
            SCOPED_TRACE("under another service they are told here, and its own flows pass");
            entry.startedAt = 3000;
            entry.service = "scanintake";
            put(entry);
            const PacketDecision former = router.route(data(1, token), clock.now());
            EXPECT_EQ(former.verdict, PacketVerdict::Reset);
            EXPECT_EQ(former.reason, PacketReason::ServerEnded);
            EXPECT_EQ(
                router.route(data(2, token, 1001, 5001, 100, scanRoute), clock.now()).verdict, PacketVerdict::Forward);
        }
        {
            SCOPED_TRACE("also after a configuration that sends new flows of their route elsewhere");
            ForwardingConfiguration moved = configuration(50);
            moved.routes[1].shares = { { "elsewhere", 1 } };
            router.applyConfiguration(moved);
            EXPECT_EQ(
                router.route(data(2, token, 1101, 5001, 100, scanRoute), clock.now()).verdict, PacketVerdict::Forward);
        }
    }

    TEST_F(TokenRouterTest, flowsOfAServerWhoseEntryVanishedGoOn)
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
