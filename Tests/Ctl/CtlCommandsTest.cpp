#include "Ctl/CtlFixture.h"

#include <gmock/gmock.h>

namespace wisteriadock {
namespace {

    using testing::HasSubstr;

    class CtlCommandsTest : public CtlFixture { };

    TEST_F(CtlCommandsTest, anOperatorsDay)
    {
        {
            SCOPED_TRACE("nothing is there yet");
            EXPECT_EQ(get().exit, CtlExit::Refused);
            EXPECT_THAT(diff(exampleText).text, HasSubstr("+ backend_server tryon-2"));
        }
        {
            SCOPED_TRACE("the file is applied, and can be read back and applied again without a new version");
            const CtlResult applied = apply(exampleText, "first");
            EXPECT_EQ(applied.exit, CtlExit::Done);
            EXPECT_EQ(applied.json["version"], 1);
            const CtlResult got = get();
            EXPECT_EQ(got.json["services"].size(), 2U);
            EXPECT_EQ(apply(got.text, "again").json["unchanged"], true);
        }
        {
            SCOPED_TRACE("a backend server drains and comes back");
            EXPECT_EQ(setState("tryon-2", BackendServerState::Draining, "d1").json["version"], 2);
            EXPECT_THAT(diff(exampleText).text, HasSubstr("~ backend_server tryon-2: state draining -> active"));
            EXPECT_EQ(setState("tryon-2", BackendServerState::Draining, "d2").json["unchanged"], true);
            EXPECT_EQ(setState("tryon-2", BackendServerState::Active, "d3").json["version"], 3);
        }
        {
            SCOPED_TRACE("refusals change nothing");
            EXPECT_THAT(
                setState("tryon-9", BackendServerState::Draining, "d4").text, HasSubstr("the nearest is 'tryon-1'"));
            EXPECT_THAT(setState("scan-1", BackendServerState::Draining, "d5").text, HasSubstr("--allow_idle_service"));
            EXPECT_EQ(apply("[service]\n", "bad").json["status"], "invalid");
            EXPECT_EQ(get().json["version"], 3);
        }
    }

    // Symptom: a drain was refused although nobody else touched that server. Sequence: ctl read version 1, another
    // operator applied version 2, ctl's write lost. Cause: the wish was tied to one version.
    TEST_F(CtlCommandsTest, aDrainThatLosesARaceStartsAgainOnTop)
    {
        apply(exampleText, "first");
        const std::string wider = exampleWith("[backend_server tryon-2]", "[backend_server tryon-2]\nslots = 9");
        platform_.beforeHeadSwap = [&] { apply(wider, "other"); };
        const CtlResult drained = setState("tryon-1", BackendServerState::Draining, "drain");
        EXPECT_EQ(drained.exit, CtlExit::Done);
        EXPECT_EQ(drained.json["apply_id"], "drain-2");
        EXPECT_THAT(diff(wider).text, testing::EndsWith(": 1\n~ backend_server tryon-1: state draining -> active"));
    }

    TEST_F(CtlCommandsTest, aDrainGivesUpAfterSomeLostRaces)
    {
        apply(exampleText, "first");
        int others = 0;
        const std::function<void()> interfere = [&] {
            const std::string slots = "[backend_server tryon-2]\nslots = " + std::to_string(10 + others);
            apply(exampleWith("[backend_server tryon-2]", slots), "other-" + std::to_string(others));
            ++others;
            platform_.beforeHeadSwap = interfere;
        };
        platform_.beforeHeadSwap = interfere;
        const CtlResult drained = setState("tryon-1", BackendServerState::Draining, "drain");
        EXPECT_EQ(drained.exit, CtlExit::Refused);
        EXPECT_EQ(drained.json["reason"], "lost_race");
        EXPECT_EQ(others, static_cast<int>(maxStateChangeAttempts));
    }

    // Symptom: a file vanished without a word. Sequence: two operators applied at the same moment. Cause: the later
    // write did not know of the earlier one.
    TEST_F(CtlCommandsTest, theLoserOfARaceIsToldWhoWon)
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

    // Symptom: an operator applied a file twice and got "refused" for a version in force. Sequence: the platform wrote,
    // its answers were lost. Cause: a lost answer was taken for a failure.
    TEST_F(CtlCommandsTest, lostAnswersAreFoundOut)
    {
        {
            SCOPED_TRACE("the answers to the content and to the head are lost");
            platform_.loseAnswers(2);
            EXPECT_EQ(apply(exampleText, "first").json["version"], 1);
        }
        {
            SCOPED_TRACE("the platform goes down before ctl can look: unknown, and how to find out");
            platform_.beforeHeadSwap = [&] { platform_.loseAnswers(1); };
            platform_.afterHeadSwap = [&] { platform_.setOutage(true); };
            const std::string changed = exampleWith("nabua", "laucala");
            const CtlResult unknown = apply(changed, "second");
            EXPECT_EQ(unknown.exit, CtlExit::Unknown);
            EXPECT_THAT(unknown.text, HasSubstr("--apply_id second --base_version 1"));

            platform_.setOutage(false);
            CtlOptions again = options(fileOf(changed), "second");
            again.baseVersion = 1;
            EXPECT_EQ(apply(again).json["version"], 2);
            EXPECT_EQ(get().json["version"], 2);
        }
    }

    TEST_F(CtlCommandsTest, anOutageEndsWithUnavailableByTheDeadline)
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

    // Symptom: after the platform was restored, applied files came into force nowhere. Sequence: balancers had version
    // 3, the copy had version 1, the next apply gave version 2. Cause: balancers don't go back.
    TEST_F(CtlCommandsTest, afterARestoreVersionsGoAboveWhatBalancersRun)
    {
        apply(exampleText, "first");
        const auto copy = platform_.store().takeSnapshot(clock_.now());
        setState("tryon-1", BackendServerState::Draining, "second");
        setState("tryon-1", BackendServerState::Active, "third");
        platform_.store().restore(copy, clock_.now());
        platform_.tick();

        CtlOptions above = options(fileOf(exampleText), "fourth");
        above.aboveVersion = 3;
        EXPECT_EQ(apply(above).json["version"], 4);
    }

}
}
