#include "Configuration/ApplyOperation.h"

#include "Configuration/ApplyDriver.h"
#include "Configuration/ExampleConfiguration.h"

#include <gmock/gmock.h>

namespace wisteriadock {
namespace {

    using testing::HasSubstr;

    class ApplyOperationTest : public testing::Test {
    protected:
        ApplyOperationTest() { apply(example_, "first"); }

        static ApplyRequest request(const Configuration& configuration, const std::string& applyId)
        {
            ApplyRequest request;
            request.configuration = configuration;
            request.applyId = applyId;
            request.author = "litia";
            return request;
        }

        ApplyOutcome apply(const Configuration& configuration, const std::string& applyId)
        {
            return driver_.run(request(configuration, applyId));
        }

        // A version that differs from the example, and from those of other numbers.
        Configuration variant(std::uint32_t number) const
        {
            Configuration changed = example_;
            changed.services[0].flowIdleSeconds = number;
            return changed;
        }

        const Configuration example_ = parsed(exampleText);
        ApplyDriver driver_;
    };

    TEST_F(ApplyOperationTest, writesVersionsOneAfterTheOther)
    {
        {
            SCOPED_TRACE("the first version");
            EXPECT_EQ(driver_.head().applied.version, 1U);
            EXPECT_EQ(driver_.head().baseVersion, 0U);
        }
        {
            SCOPED_TRACE("the second remembers the first");
            const ApplyOutcome outcome = apply(variant(2), "second");
            EXPECT_EQ(outcome.status, ApplyStatus::Accepted);
            EXPECT_EQ(outcome.version, 2U);
            EXPECT_EQ(driver_.head().previousApplies.at(0).applyId, "first");
        }
        {
            SCOPED_TRACE("the same content again makes no version, and mends a part that is missing");
            driver_.values.erase(contentPartKey(driver_.head().applied.contentHash, 0));
            const ApplyOutcome outcome = apply(variant(2), "third");
            EXPECT_TRUE(outcome.isUnchanged);
            EXPECT_EQ(outcome.version, 2U);
            EXPECT_EQ(driver_.values.count(contentPartKey(driver_.head().applied.contentHash, 0)), 1U);
        }
        {
            SCOPED_TRACE("an apply id that was used before");
            EXPECT_EQ(apply(example_, "first").version, 1U);
            EXPECT_EQ(apply(variant(9), "first").reason, ApplyRefusal::ReusedApplyId);
            EXPECT_EQ(driver_.head().applied.version, 2U);
        }
        {
            SCOPED_TRACE("a base that is not the newest, and a rule that is broken");
            ApplyRequest stale = request(variant(3), "fourth");
            stale.baseVersion = 1;
            const ApplyOutcome outcome = driver_.run(stale);
            EXPECT_EQ(outcome.reason, ApplyRefusal::WrongBase);
            EXPECT_EQ(outcome.winner->applyId, "second");

            Configuration idle = example_;
            for (BackendServer& server : idle.backendServers)
                server.state = BackendServerState::Draining;
            EXPECT_EQ(apply(idle, "fifth").reason, ApplyRefusal::BrokenRule);
            EXPECT_EQ(driver_.head().applied.version, 2U);
        }
    }

    // Symptom: ctl said "refused" about a version that was in force. Sequence: the head write took effect, its answer
    // was lost, the write was repeated and lost against itself. Cause: an unknown outcome was taken for a failure.
    TEST_F(ApplyOperationTest, findsOutAWriteWhoseAnswerWasLost)
    {
        {
            SCOPED_TRACE("it took effect: accepted, without another write");
            driver_.headSwaps = 0;
            driver_.headSwapFaults = { SwapFault::LostAfterEffect };
            const ApplyOutcome outcome = apply(variant(2), "second");
            EXPECT_EQ(outcome.status, ApplyStatus::Accepted);
            EXPECT_EQ(outcome.version, 2U);
            EXPECT_EQ(driver_.headSwaps, 1U);
        }
        {
            SCOPED_TRACE("it took effect, and others applied on top before the head was read");
            driver_.headSwapFaults = { SwapFault::LostAfterEffect };
            driver_.afterHeadSwap = [this] { apply(variant(4), "on-top"); };
            const ApplyOutcome outcome = apply(variant(3), "third");
            EXPECT_EQ(outcome.status, ApplyStatus::Accepted);
            EXPECT_EQ(outcome.version, 3U);
            EXPECT_EQ(driver_.head().applied.version, 4U);
        }
        {
            SCOPED_TRACE("it did not take effect: the same write goes out again");
            driver_.headSwapFaults = { SwapFault::LostBeforeEffect, SwapFault::NotSent };
            EXPECT_EQ(apply(variant(5), "fifth").version, 5U);
        }
        {
            SCOPED_TRACE("it did not take effect, and somebody else won meanwhile");
            driver_.headSwapFaults = { SwapFault::LostBeforeEffect };
            driver_.afterHeadSwap = [this] { apply(variant(7), "winner"); };
            const ApplyOutcome outcome = apply(variant(6), "loser");
            EXPECT_EQ(outcome.reason, ApplyRefusal::LostRace);
            EXPECT_EQ(outcome.winner->applyId, "winner");
        }
    }

    // Symptom: one of two operators found his file gone. Sequence: both read version 1, both wrote. Cause: the later
    // write replaced a version that it had never been checked against.
    TEST_F(ApplyOperationTest, oneOfTwoRacingOperatorsWins)
    {
        driver_.beforeHeadSwap = [this] { apply(variant(2), "wins"); };
        const ApplyOutcome outcome = apply(variant(3), "loses");
        EXPECT_EQ(outcome.status, ApplyStatus::Refused);
        EXPECT_EQ(outcome.reason, ApplyRefusal::LostRace);
        ASSERT_TRUE(outcome.winner);
        EXPECT_EQ(outcome.winner->applyId, "wins");
        EXPECT_EQ(outcome.baseVersion, 1U);
        EXPECT_THAT(outcome.details.front(), HasSubstr("against base version 1, version 2 of litia (apply id wins)"));
        EXPECT_EQ(driver_.head().applied.applyId, "wins");
    }

    // Symptom: ctl claimed to know what it could not. Sequence: the answer was lost, and then the platform went away,
    // or so many others applied that the head forgot. Cause: absence from a short list was taken for proof.
    TEST_F(ApplyOperationTest, saysUnknownWhereItCanNotFindOut)
    {
        {
            SCOPED_TRACE("every further write is lost too");
            driver_.headSwapFaults.assign(100, SwapFault::LostBeforeEffect);
            const ApplyOutcome outcome = apply(variant(2), "second");
            EXPECT_EQ(outcome.status, ApplyStatus::Unknown);
            EXPECT_THAT(outcome.details.back(), HasSubstr("--apply_id second --base_version 1"));
            EXPECT_LT(driver_.headSwaps, 20U);
            driver_.headSwapFaults.clear();
        }
        {
            SCOPED_TRACE("the head forgot: more versions than it remembers were accepted since");
            driver_.headSwapFaults = { SwapFault::LostAfterEffect };
            driver_.afterHeadSwap = [this] {
                for (std::uint32_t i = 0; i < maxRecordedApplies; ++i)
                    apply(variant(100 + i), "later-" + std::to_string(i));
            };
            EXPECT_EQ(apply(variant(3), "third").status, ApplyStatus::Unknown);
        }
        {
            SCOPED_TRACE("nothing was ever sent: unavailable, not unknown");
            driver_.headSwapFaults.assign(100, SwapFault::NotSent);
            EXPECT_EQ(apply(variant(4), "fourth").status, ApplyStatus::Unavailable);
        }
    }

    // Symptom: a version vanished that nobody had replaced knowingly. Sequence: an answer was lost, the platform was
    // restored from an older copy, and another operator's write got the revision that the first had read. Cause: the
    // revision alone was taken for the head.
    TEST_F(ApplyOperationTest, doesNotTakeARevisionThatCameAgainForTheSameHead)
    {
        const std::string key(configurationHeadKey);
        ConfigurationHead other = driver_.head();
        other.applied.applyId = "other";
        driver_.headSwapFaults = { SwapFault::LostAfterEffect };
        driver_.afterHeadSwap = [&, revision = driver_.values.at(key).revision] {
            driver_.values[key] = { other.toJson(), revision };
        };
        EXPECT_EQ(apply(variant(2), "second").status, ApplyStatus::Unknown);
        EXPECT_EQ(driver_.head().applied.applyId, "other");
    }

    TEST_F(ApplyOperationTest, splitsContentThatThePlatformCanNotHold)
    {
        Configuration large = example_;
        for (int i = 0; i < 12000; ++i) {
            BackendServer server = large.backendServers[0];
            server.name = "t" + std::to_string(100000 + i);
            server.id = backendServerIdOf(server.name);
            server.flowAddress = server.requestAddress = { 0x0b000000U + static_cast<std::uint32_t>(i), 80 };
            large.backendServers.push_back(server);
        }
        EXPECT_EQ(apply(large, "large").status, ApplyStatus::Accepted);
        EXPECT_GT(driver_.head().contentParts, 1U);
        for (const auto& [key, value] : driver_.values)
            EXPECT_LE(value.value.size(), maxContentPartBytes) << key;
        EXPECT_EQ(apply(variant(2), "small").version, 3U) << "the large base must be readable to be checked against";
    }

    TEST_F(ApplyOperationTest, refusesAStoreThatHoldsSomethingElse)
    {
        {
            SCOPED_TRACE("a part of the version in force is missing");
            driver_.values.erase(contentPartKey(driver_.head().applied.contentHash, 0));
            ApplyRequest next = request(variant(2), "second");
            EXPECT_EQ(driver_.run(next).reason, ApplyRefusal::UnreadableBase);
            next.allowUnreadableBase = true;
            EXPECT_EQ(driver_.run(next).status, ApplyStatus::Accepted);
        }
        {
            SCOPED_TRACE("another text lies under our content's name");
            const std::string text = "[service x]";
            driver_.values[contentPartKey(driver_.head().applied.contentHash, 0)].value = text;
            EXPECT_EQ(apply(variant(2), "third").reason, ApplyRefusal::BadStore);
        }
        {
            SCOPED_TRACE("a platform that was restored: versions jump above those that balancers have in force");
            ApplyRequest restored = request(variant(4), "fourth");
            restored.allowUnreadableBase = true;
            restored.aboveVersion = 41;
            EXPECT_EQ(driver_.run(restored).version, 42U);
        }
    }

}
}
