#include "Ctl/CtlFixture.h"

#include <gmock/gmock.h>

namespace wisteriadock {
namespace {

    using testing::HasSubstr;

    class CtlCommandsTest : public CtlFixture { };

    TEST_F(CtlCommandsTest, ApplyDiffDrainAndUndrain)
    {
        {
            SCOPED_TRACE("no configuration exists");
            EXPECT_EQ(get().exit, CtlExit::Refused);
            EXPECT_THAT(diff(exampleText).text, HasSubstr("+ backend_server tryon-2"));
        }
        {
            SCOPED_TRACE("the file is applied, read back and applied again without a new version");
            const CtlResult applied = apply(exampleText, "first");
            EXPECT_EQ(applied.exit, CtlExit::Done);
            EXPECT_EQ(applied.json["version"], 1);
            const CtlResult got = get();
            EXPECT_EQ(got.json["services"].size(), 2U);
            EXPECT_EQ(apply(got.text, "again").json["unchanged"], true);
        }
        {
            SCOPED_TRACE("a backend server is drained and undrained");
            EXPECT_EQ(setState("tryon-2", BackendServerState::Draining, "d1").json["version"], 2);
            EXPECT_THAT(diff(exampleText).text, HasSubstr("~ backend_server tryon-2: state draining -> active"));
            EXPECT_EQ(setState("tryon-2", BackendServerState::Draining, "d2").json["unchanged"], true);
            EXPECT_EQ(setState("tryon-2", BackendServerState::Active, "d3").json["version"], 3);
        }
        {
            SCOPED_TRACE("refused commands leave the version unchanged");
            EXPECT_THAT(
                setState("tryon-9", BackendServerState::Draining, "d4").text, HasSubstr("the nearest is 'tryon-1'"));
            EXPECT_THAT(setState("scan-1", BackendServerState::Draining, "d5").text, HasSubstr("--allow_idle_service"));
            EXPECT_EQ(apply("[service]\n", "bad").json["status"], "invalid");
            EXPECT_EQ(get().json["version"], 3);
        }
    }

    // Guards against refusing a drain because another operator applied an unrelated change meanwhile.
    TEST_F(CtlCommandsTest, DrainRetriesOnTheNewVersionAfterALostRace)
    {
        apply(exampleText, "first");
        const std::string wider = exampleWith("[backend_server tryon-2]", "[backend_server tryon-2]\nslots = 9");
        platform_.beforeHeadSwap = [&] { apply(wider, "other"); };
        const CtlResult drained = setState("tryon-1", BackendServerState::Draining, "drain");
        EXPECT_EQ(drained.exit, CtlExit::Done);
        EXPECT_EQ(drained.json["apply_id"], "drain-2");
        EXPECT_THAT(diff(wider).text, testing::EndsWith(": 1\n~ backend_server tryon-1: state draining -> active"));
    }

    // Guards against endless retries while other applies keep winning.
    TEST_F(CtlCommandsTest, DrainFailsAfterTheMaximumOfLostRaces)
    {
        apply(exampleText, "first");
        int otherApplies = 0;
        const std::function<void()> interfere = [&] {
            const std::string slots = "[backend_server tryon-2]\nslots = " + std::to_string(10 + otherApplies);
            apply(exampleWith("[backend_server tryon-2]", slots), "other-" + std::to_string(otherApplies));
            ++otherApplies;
            platform_.beforeHeadSwap = interfere;
        };
        platform_.beforeHeadSwap = interfere;
        const CtlResult drained = setState("tryon-1", BackendServerState::Draining, "drain");
        EXPECT_EQ(drained.exit, CtlExit::Refused);
        EXPECT_EQ(drained.json["reason"], "lost_race");
        EXPECT_EQ(otherApplies, static_cast<int>(maxStateChangeAttempts));
    }

    // Guards against one of two concurrent applies silently overwriting the other.
    TEST_F(CtlCommandsTest, LostRaceReportsTheWinner)
    {
        apply(exampleText, "first");
        platform_.beforeHeadSwap
            = [&] { apply(exampleWith("[service scanintake]", "evenness = 1\n[service scanintake]"), "winner"); };
        const CtlResult lost = apply(exampleWith("nabua", "laucala"), "loser");
        EXPECT_EQ(lost.exit, CtlExit::Refused);
        EXPECT_EQ(lost.json["winner"]["apply_id"], "winner");
        EXPECT_EQ(lost.json["winner"]["author"], "litia");
        EXPECT_EQ(lost.json["base_version"], 1);
    }

    // Guards against reporting a successful write as a failure when only its answer was lost.
    TEST_F(CtlCommandsTest, LostAnswersAreResolved)
    {
        {
            SCOPED_TRACE("the answers to the content and to the head are lost");
            platform_.loseAnswers(2);
            EXPECT_EQ(apply(exampleText, "first").json["version"], 1);
        }
        {
            SCOPED_TRACE("the platform goes down before ctl can check: the outcome is unknown and the report names the "
                         "flags for a retry");
            platform_.beforeHeadSwap = [&] { platform_.loseAnswers(1); };
            platform_.afterHeadSwap = [&] { platform_.setOutage(true); };
            const std::string changed = exampleWith("nabua", "laucala");
            const CtlResult unknown = apply(changed, "second");
            EXPECT_EQ(unknown.exit, CtlExit::Unknown);
            EXPECT_THAT(unknown.text, HasSubstr("--apply_id second --base_version 1"));

            platform_.setOutage(false);
            CtlOptions again = options(writeFile(changed), "second");
            again.baseVersion = 1;
            EXPECT_EQ(apply(again).json["version"], 2);
            EXPECT_EQ(get().json["version"], 2);
        }
    }

    // Guards against commands that wait beyond their deadline while the platform is down.
    TEST_F(CtlCommandsTest, OutageEndsWithUnavailableByTheDeadline)
    {
        apply(exampleText, "first");
        platform_.setOutage(true);
        const TimePoint start = clock_.now();
        EXPECT_EQ(apply(exampleWith("nabua", "laucala"), "second").exit, CtlExit::Unavailable);
        EXPECT_EQ(get().exit, CtlExit::Unavailable);
        EXPECT_LE(clock_.now() - start, std::chrono::seconds(20));
        platform_.setOutage(false);
        EXPECT_EQ(get().json["version"], 1);
    }

    // Guards against a version number that balancers ignore after the platform was restored from an older copy.
    TEST_F(CtlCommandsTest, VersionAfterARestoreIsAboveThoseOfTheBalancers)
    {
        apply(exampleText, "first");
        const auto copy = platform_.store().takeSnapshot(clock_.now());
        setState("tryon-1", BackendServerState::Draining, "second");
        setState("tryon-1", BackendServerState::Active, "third");
        platform_.store().restore(copy, clock_.now());
        platform_.tick();

        CtlOptions above = options(writeFile(exampleText), "fourth");
        above.aboveVersion = 3;
        EXPECT_EQ(apply(above).json["version"], 4);
    }

}
}
