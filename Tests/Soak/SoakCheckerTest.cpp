#include "Soak/SoakChecker.h"
#include "Soak/SoakSchedule.h"

#include <gtest/gtest.h>

#include <set>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr Endpoint routeAddress { 0xC6120001, 443 };

    // Violates each guarantee once, to detect a check that cannot fail.
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

    TEST_F(SoakCheckerTest, RunWithoutRequestsIsViolation)
    {
        checker.finish(clock.now());
        EXPECT_EQ(onlyViolation(), "SERVI");
    }

    TEST_F(SoakCheckerTest, AllowedObservationsAreNoViolation)
    {
        for (int i = 0; i < 30; ++i) {
            open();
            checker.noteRequest(true, "vm", routeAddress, clock.now(), clock.now());
        }
        checker.noteReset("flow", "vm", false, false, clock.now());
        checker.noteReset("flow", "vm", true, false, clock.now());
        checker.noteExit("vm", 0, true);
        checker.finish(clock.now());
        EXPECT_TRUE(checker.violations().empty());
    }

    TEST_F(SoakCheckerTest, OpeningAtServerOfAnotherServiceIsViolation)
    {
        open("i-1", "scanintake");
        EXPECT_EQ(onlyViolation(), "ROUTE");
    }

    TEST_F(SoakCheckerTest, RemovedRouteMayBeUsedUntilItsBound)
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

    // Guards against reporting openings at a process that registered as ready under the id of a draining server.
    TEST_F(SoakCheckerTest, RestartedServerMayTakeOpenings)
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

    TEST_F(SoakCheckerTest, DrainingServerMayTakeOpeningsUntilItsBound)
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

    // Guards against a server that stays out of use after another writer overwrote its entry.
    TEST_F(SoakCheckerTest, ServerUnusedSinceItsEntryWasRewrittenIsViolation)
    {
        const auto finish = [this](SoakChecker finished) {
            for (int i = 0; i < 30; ++i) {
                finished.noteOpening({ "i-9", "tryon", "zone-1", routeAddress, "vm", clock.now() }, clock.now());
                finished.noteRequest(true, "vm", routeAddress, clock.now(), clock.now());
            }
            finished.finish(clock.now());
            return finished.violations();
        };
        checker.noteEntryRewritten("i-1", "zone-1", clock.now());
        clock.advance(11800ms);
        EXPECT_TRUE(finish(checker).empty());
        clock.advance(1ms);
        const auto violations = finish(checker);
        ASSERT_EQ(violations.size(), 1U);
        EXPECT_EQ(violations.front().substr(0, 6), "UNUSED");
        {
            SCOPED_TRACE("a server that took an opening since, or that need not take any");
            SoakChecker used = checker;
            used.noteOpening({ "i-1", "tryon", "zone-1", routeAddress, "vm", clock.now() }, clock.now());
            SoakChecker draining = checker;
            draining.noteServerDraining("i-1", clock.now());
            SoakChecker evacuated = checker;
            evacuated.noteZoneEvacuated("zone-1", clock.now());
            for (const SoakChecker& each : { used, draining, evacuated })
                EXPECT_TRUE(finish(each).empty());
        }
    }

    TEST_F(SoakCheckerTest, RequestsThroughASwitchedOffBalancerAreNotCountedAsRecovered)
    {
        checker.noteAllRestarted(clock.now());
        clock.advance(13s);
        for (int i = 0; i < 30; ++i) {
            open();
            checker.noteRequest(true, "vm", routeAddress, clock.now(), clock.now());
        }
        SoakChecker others = checker;
        checker.noteSwitchedOff("off");
        checker.disturb("off", clock.now() + 10s);
        others.disturb("off", clock.now() + 10s);
        for (int i = 0; i < 60; ++i) {
            for (SoakChecker* each : { &checker, &others })
                each->noteRequest(false, "off", routeAddress, clock.now(), clock.now());
        }
        checker.finish(clock.now());
        others.finish(clock.now());
        EXPECT_TRUE(checker.violations().empty());
        ASSERT_EQ(others.violations().size(), 1U);
        EXPECT_EQ(others.violations().front().substr(0, 7), "RECOVER");
    }

    TEST_F(SoakCheckerTest, ResetOfOpenFlowAtRunningServerIsViolation)
    {
        checker.noteReset("flow", "vm", true, true, clock.now());
        EXPECT_EQ(onlyViolation(), "FLOW:");
    }

    TEST_F(SoakCheckerTest, UnexpectedExitIsViolation)
    {
        checker.noteExit("vm", 139, false);
        EXPECT_EQ(onlyViolation(), "EXIT:");
    }

    TEST_F(SoakCheckerTest, CorruptedPacketIsViolation)
    {
        checker.noteCorruptedPacket("i-1");
        EXPECT_EQ(onlyViolation(), "CHANG");
    }

    TEST_F(SoakCheckerTest, LowServedShareIsViolationWhileUndisturbedAndAfterRecovery)
    {
        checker.noteAllRestarted(clock.now());
        clock.advance(13s);
        for (int i = 0; i < 30; ++i)
            open();
        for (int i = 0; i < 100; ++i)
            checker.noteRequest(i % 2 == 0, "vm", routeAddress, clock.now(), clock.now());
        checker.finish(clock.now());
        ASSERT_EQ(checker.violations().size(), 2U);
        EXPECT_EQ(checker.violations()[0].substr(0, 7), "SERVICE");
        EXPECT_EQ(checker.violations()[1].substr(0, 7), "RECOVER");
    }

    TEST(SoakScheduleTest, SameSeedGivesSameScheduleAndSeedsCoverEveryKind)
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

    // Guards against a checker that misses openings in an evacuated zone or ignores the revocation.
    TEST_F(SoakCheckerTest, OpeningInEvacuatedZoneAfterItsBoundIsViolation)
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
