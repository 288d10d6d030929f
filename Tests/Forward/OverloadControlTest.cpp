#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Three servers with two slots in each of two zones. Route "overlay" is urgent, "scan" is not; both use "tryon".
    struct OverloadControlTest : testing::Test, ForwardFixture {
        TokenRouter overloadRouter { overloadSettings(true) };
        TokenRouter offRouter { overloadSettings(false) };

        static RouterSettings overloadSettings(bool isOn)
        {
            RouterSettings settings = ForwardFixture::settings();
            settings.overload = { isOn, isOn };
            return settings;
        }

        OverloadControlTest()
        {
            ForwardingConfiguration routes = configuration(3);
            routes.routes[1].shares = { { "tryon", 1 } };
            routes.routes[1].priority = 1;
            for (TokenRouter* one : { &router, &overloadRouter, &offRouter }) {
                one->applyConfiguration(routes);
                for (const std::uint64_t number : { 1, 2, 3 }) {
                    one->putServer(server(number), number, clock.now());
                    one->putServer(server(number + 10, "tryon", "laucala"), number, clock.now());
                }
            }
        }

        static ServiceLoadRow row(const std::string& zone, std::uint32_t priority, float inProgress, float begun,
            float served, float rejected)
        {
            return { zone, zone, priority, { inProgress, begun, served, rejected, 0, 40ms } };
        }
        // All servers are full, and half of the less urgent requests are too many.
        static ServiceLoad fullEverywhere()
        {
            return { { row("walu", 0, 10, 80, 50, 30), row("walu", 1, 20, 160, 100, 60),
                         row("laucala", 0, 10, 80, 50, 30), row("laucala", 1, 20, 160, 100, 60) },
                { "walu", "laucala" } };
        }
        static ServiceLoad ownZoneFull()
        {
            return { { row("walu", 0, 9, 75, 75, 0), row("walu", 1, 9, 75, 75, 0), row("laucala", 0, 0.5F, 12, 12, 0) },
                { "walu", "laucala" } };
        }
        void know(const ServiceLoad& load, Duration time)
        {
            for (; time > Duration(); time -= 250ms) {
                clock.advance(250ms);
                overloadRouter.setServiceLoad("tryon", load);
                offRouter.setServiceLoad("tryon", load);
                for (TokenRouter* one : { &router, &overloadRouter, &offRouter })
                    one->tick(clock.now());
            }
        }
        int countReset(TokenRouter& one, Endpoint target, std::uint32_t copies = 0)
        {
            int reset = 0;
            for (std::uint32_t caller = 0; caller < 300; ++caller) {
                const PacketDecision decision = one.route(opening(caller + 1000, copies, target), clock.now());
                reset += decision.verdict == PacketVerdict::Reset;
                if (decision.verdict == PacketVerdict::Reset)
                    EXPECT_EQ(decision.reason, PacketReason::PriorityShed);
                else
                    one.route(data(caller + 1000, decision.server->token, 1001, 5001, 0, target), clock.now());
            }
            return reset;
        }
        void expectSameAsWithoutLoad(TokenRouter& other, std::uint32_t first)
        {
            for (std::uint32_t caller = first; caller < first + 300; ++caller) {
                for (const Endpoint target : { tryonRoute, scanRoute }) {
                    const PacketDecision expected = router.route(opening(caller, 0, target), clock.now());
                    const PacketDecision decision = other.route(opening(caller, 0, target), clock.now());
                    ASSERT_EQ(decision.verdict, expected.verdict);
                    ASSERT_EQ(decision.reason, expected.reason);
                    ASSERT_EQ(decision.server->entry.id, expected.server->entry.id);
                }
            }
        }
    };

    // Guards against a change of decisions for operators who have not switched the part on.
    TEST_F(OverloadControlTest, DecisionsAreUnchangedWithTheSettingsOff)
    {
        know(fullEverywhere(), 3s);
        expectSameAsWithoutLoad(offRouter, 1);
        EXPECT_TRUE(offRouter.overload().overview().empty());
    }

    // Guards against decisions by a load that is over.
    TEST_F(OverloadControlTest, DecisionsAreUnchangedWithoutAKnownLoad)
    {
        expectSameAsWithoutLoad(overloadRouter, 1);
        know(fullEverywhere(), 3s);
        EXPECT_GT(overloadRouter.overload().admission().levelOf("tryon"), 0);
        for (int i = 0; i < 9; ++i) {
            clock.advance(250ms);
            router.tick(clock.now());
            overloadRouter.tick(clock.now());
        }
        EXPECT_TRUE(overloadRouter.overload().overview().empty());
        EXPECT_EQ(overloadRouter.takeShedLevelChanges().back().level, 0);
        expectSameAsWithoutLoad(overloadRouter, 5000);
    }

    // Guards against flows to a zone that looks empty because its digests are lost.
    TEST_F(OverloadControlTest, ZoneWhoseCallersAreUnknownGetsNoSpillover)
    {
        know(ownZoneFull(), 2s);
        EXPECT_GT(overloadRouter.overload().spillover().sharesOf("tryon")["laucala"], 0.1F);
        ServiceLoad withoutOther = ownZoneFull();
        withoutOther.rows.pop_back();
        withoutOther.callerZones = { "walu", "nabua" };
        know(withoutOther, 250ms);
        EXPECT_TRUE(overloadRouter.overload().spillover().sharesOf("tryon").empty());
    }

    // Guards against resets of flows that may be open, and against refusals of urgent flows.
    TEST_F(OverloadControlTest, OnlyFirstOpeningsOfTheLeastUrgentPriorityAreRefused)
    {
        know(fullEverywhere(), 3s);
        const int refused = countReset(overloadRouter, scanRoute);
        EXPECT_GT(refused, 50);
        EXPECT_LT(refused, 250);
        EXPECT_EQ(countReset(overloadRouter, tryonRoute), 0);
        EXPECT_EQ(countReset(overloadRouter, scanRoute, 1), 0);
        const PacketDecision established = overloadRouter.route(data(1, tokenOf(1)), clock.now());
        EXPECT_EQ(established.verdict, PacketVerdict::Forward);
        for (std::uint32_t caller = 1000; caller < 1300; ++caller) {
            const PacketDecision decision = overloadRouter.route(opening(caller + 5000, 0, scanRoute), clock.now());
            if (decision.verdict != PacketVerdict::Reset)
                continue;
            EXPECT_TRUE(decision.admission.isShed);
            EXPECT_EQ(decision.admission.priority, 1U);
            EXPECT_GT(decision.admission.level, 0);
        }
    }

    TEST_F(OverloadControlTest, ServiceWithOnePriorityIsLeftToAnswerTimes)
    {
        ForwardingConfiguration routes = configuration(4);
        overloadRouter.applyConfiguration(routes);
        know(fullEverywhere(), 3s);
        EXPECT_FALSE(overloadRouter.overload().admission().isKnown("tryon"));
        EXPECT_EQ(countReset(overloadRouter, tryonRoute), 0);
    }

    struct SpilloverRouterTest : OverloadControlTest {
        // Opens flows that their servers answer. Returns the number in the other zone.
        int countElsewhere(std::uint32_t first, bool doesOtherZoneAnswer = true)
        {
            int count = 0;
            for (std::uint32_t caller = first; caller < first + 200; ++caller) {
                const KnownServer* chosen = overloadRouter.route(opening(caller), clock.now()).server;
                clock.advance(5ms);
                const bool isElsewhere = chosen->entry.availabilityZone != "walu";
                count += isElsewhere;
                if (!isElsewhere || doesOtherZoneAnswer) {
                    overloadRouter.route(data(caller, chosen->token, 1001, 5001, 0), clock.now());
                    TokenPacket end = data(caller, chosen->token, 1001, 5001, 0);
                    end.finishes = true;
                    overloadRouter.route(end, clock.now());
                }
            }
            return count;
        }
    };

    TEST_F(SpilloverRouterTest, FlowsGoToTheZoneWithRoom)
    {
        EXPECT_EQ(countElsewhere(1), 0);
        know(ownZoneFull(), 5s);
        // The own zone needs all of its 6 slots, 1.2 more than the 0.8 of them that it may use.
        const float share = overloadRouter.overload().spillover().sharesOf("tryon")["laucala"];
        EXPECT_GT(share, 0.1F);
        EXPECT_NEAR(countElsewhere(1000), share * 200, 25);
        {
            SCOPED_TRACE("an evacuated zone gets nothing");
            overloadRouter.setZoneEvacuation("laucala", true, 99, clock.now());
            EXPECT_EQ(countElsewhere(2000), 0);
        }
    }

    // Guards against flows that are lost in a zone that was cut off while it took the excess of others.
    TEST_F(SpilloverRouterTest, ZoneThatIsCutOffGetsOneFlowAtATime)
    {
        know(ownZoneFull(), 5s);
        ASSERT_GT(countElsewhere(1000), 10);
        clock.advance(1100ms);
        overloadRouter.setServiceLoad("tryon", ownZoneFull());
        overloadRouter.tick(clock.now());
        EXPECT_LE(countElsewhere(2000, false), 3);
    }

}

}
