#include "Soak/SoakChecker.h"
#include "Soak/SoakSchedule.h"

#include <gtest/gtest.h>

#include <set>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr Endpoint routeAddress { 0xC6120001, 443 };

    // Each promise is broken on purpose once, so that a check that never could fail would show.
    struct SoakCheckerTest : testing::Test {
        ManualClock clock;
        SoakChecker checker;

        SoakCheckerTest()
        {
            checker.noteConfiguration(configuration(1, true), clock.now());
            clock.advance(10s);
        }

        static ForwardingConfiguration configuration(std::uint64_t version, bool hasRoute)
        {
            ForwardingConfiguration configuration { version, {}, 0ms };
            if (hasRoute)
                configuration.routes.push_back({ "route", routeAddress, { { "tryon", 1 } } });
            return configuration;
        }

        void open(const std::string& server = "i-1", const std::string& service = "tryon")
        {
            checker.noteOpening({ server, service, "zone-1", routeAddress, "vm", clock.now() }, clock.now());
        }

        std::string onlyViolation()
        {
            EXPECT_EQ(checker.violations().size(), 1U);
            return checker.violations().empty() ? "" : checker.violations().front().substr(0, 5);
        }
    };

    TEST_F(SoakCheckerTest, aRunWithoutRequestsProvesNothing)
    {
        checker.finish();
        EXPECT_EQ(onlyViolation(), "SERVI");
    }

    TEST_F(SoakCheckerTest, whatIsAllowedIsNoViolation)
    {
        for (int i = 0; i < 30; ++i) {
            open();
            checker.noteRequest(true, "vm", routeAddress, clock.now(), clock.now());
        }
        checker.noteReset("flow", "vm", false, false, clock.now());
        checker.noteReset("flow", "vm", true, false, clock.now());
        checker.noteExit("vm", 0, true);
        checker.finish();
        EXPECT_TRUE(checker.violations().empty());
    }

    TEST_F(SoakCheckerTest, anOpeningAtAnotherServiceBreaksRoute)
    {
        open("i-1", "scanintake");
        EXPECT_EQ(onlyViolation(), "ROUTE");
    }

    TEST_F(SoakCheckerTest, aRemovedRouteMayBeUsedForThreeSecondsWhenAllIsCalm)
    {
        checker.noteConfiguration(configuration(2, false), clock.now());
        clock.advance(2900ms);
        open();
        EXPECT_TRUE(checker.violations().empty());
        clock.advance(200ms);
        checker.disturb("vm", clock.now());
        open();
        EXPECT_TRUE(checker.violations().empty());
        clock.advance(4s);
        open();
        EXPECT_EQ(onlyViolation(), "CONFI");
    }

    // Symptom: DRAIN on two of 50 seeds, 12 to 17 s after a server had said that it leaves. Sequence: the server
    // drains; its process ends early and another one starts under its id and registers as ready; all balancers read
    // that entry and send flows there. Cause: the checker held the new process to what the former one had said.
    // Evidence: every balancer logged the entry as draining at revision 15 and as ready at revision 20.
    TEST_F(SoakCheckerTest, aLeavingServerThatStartsAgainTakesOpenings)
    {
        checker.noteServerDraining("i-1", clock.now());
        checker.noteServerRestarted("i-1");
        clock.advance(10s);
        open();
        EXPECT_TRUE(checker.violations().empty());
        checker.noteServerDraining("i-1", clock.now());
        clock.advance(10s);
        open();
        EXPECT_EQ(onlyViolation(), "DRAIN");
    }

    TEST_F(SoakCheckerTest, aLeavingServerMayTakeOpeningsForThreeSecondsWhenAllIsCalm)
    {
        checker.noteServerDraining("i-1", clock.now());
        clock.advance(3s);
        open();
        EXPECT_TRUE(checker.violations().empty());
        clock.advance(1ms);
        checker.disturbStore(clock.now());
        open();
        EXPECT_TRUE(checker.violations().empty());
        clock.advance(4s);
        open();
        EXPECT_EQ(onlyViolation(), "DRAIN");
    }

    TEST_F(SoakCheckerTest, aResetOfAnOpenFlowWhoseServerLivesBreaksIt)
    {
        checker.noteReset("flow", "vm", true, true, clock.now());
        EXPECT_EQ(onlyViolation(), "FLOW:");
    }

    TEST_F(SoakCheckerTest, aProcessThatEndsByItselfIsAViolation)
    {
        checker.noteExit("vm", 139, false);
        EXPECT_EQ(onlyViolation(), "EXIT:");
    }

    TEST_F(SoakCheckerTest, aChangedPacketIsAViolation)
    {
        checker.noteCorruptedPacket("i-1");
        EXPECT_EQ(onlyViolation(), "CHANG");
    }

    TEST_F(SoakCheckerTest, badServiceShowsWhenAllIsCalmAndAfterRecovery)
    {
        checker.noteAllRestarted(clock.now());
        clock.advance(13s);
        for (int i = 0; i < 30; ++i)
            open();
        for (int i = 0; i < 100; ++i)
            checker.noteRequest(i % 2 == 0, "vm", routeAddress, clock.now(), clock.now());
        checker.finish();
        ASSERT_EQ(checker.violations().size(), 2U);
        EXPECT_EQ(checker.violations()[0].substr(0, 7), "SERVICE");
        EXPECT_EQ(checker.violations()[1].substr(0, 7), "RECOVER");
    }

    TEST(SoakScheduleTest, aSeedGivesOneScheduleAndSeedsCoverEveryKind)
    {
        std::set<SoakStepKind> kinds;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            const SoakPlan plan = generateSoakPlan(seed, 30s);
            const SoakPlan again = generateSoakPlan(seed, 30s);
            ASSERT_EQ(plan.steps.size(), again.steps.size());
            for (std::size_t i = 0; i < plan.steps.size(); ++i) {
                EXPECT_EQ(plan.steps[i].toString(), again.steps[i].toString());
                kinds.insert(plan.steps[i].kind);
            }
        }
        EXPECT_EQ(kinds.size(), soakStepKindCount);
    }

    // Guards against an order that balancers pass over, and a checker that does not see it or does not see its end.
    TEST_F(SoakCheckerTest, anOpeningInAnEmptiedZoneBreaksTheOrder)
    {
        checker.noteZoneEvacuated("zone-2", clock.now());
        clock.advance(10s);
        open();
        EXPECT_TRUE(checker.violations().empty());
        checker.noteZoneEvacuated("zone-1", clock.now());
        clock.advance(3s);
        open();
        EXPECT_TRUE(checker.violations().empty());
        checker.noteEvacuationRevoked("zone-1");
        clock.advance(10s);
        open();
        EXPECT_TRUE(checker.violations().empty());
        checker.noteZoneEvacuated("zone-1", clock.now());
        clock.advance(3001ms);
        open();
        EXPECT_EQ(onlyViolation(), "EMPTI");
    }

}

}
