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

        // A configuration that differs from the example and from variants of other numbers.
        Configuration variant(std::uint32_t number) const
        {
            Configuration changed = example_;
            changed.services[0].flowIdleSeconds = number;
            return changed;
        }

        const Configuration example_ = parsed(exampleText);
        ApplyDriver driver_;
    };

    TEST_F(ApplyOperationTest, WritesSuccessiveVersions)
    {
        {
            SCOPED_TRACE("the first version");
            EXPECT_EQ(driver_.head().applied.version, 1U);
            EXPECT_EQ(driver_.head().baseVersion, 0U);
        }
        {
            SCOPED_TRACE("the second version records the first");
            const ApplyOutcome outcome = apply(variant(2), "second");
            EXPECT_EQ(outcome.status, ApplyStatus::Accepted);
            EXPECT_EQ(outcome.version, 2U);
            EXPECT_EQ(driver_.head().previousApplies.at(0).applyId, "first");
        }
        {
            SCOPED_TRACE("the same content creates no version, and restores a missing part");
            driver_.values.erase(contentPartKey(driver_.head().applied.contentHash, 0));
            const ApplyOutcome outcome = apply(variant(2), "third");
            EXPECT_TRUE(outcome.isUnchanged);
            EXPECT_EQ(outcome.version, 2U);
            EXPECT_EQ(driver_.values.count(contentPartKey(driver_.head().applied.contentHash, 0)), 1U);
        }
        {
            SCOPED_TRACE("an apply id is used again");
            EXPECT_EQ(apply(example_, "first").version, 1U);
            EXPECT_EQ(apply(variant(9), "first").reason, ApplyRefusal::ReusedApplyId);
            EXPECT_EQ(driver_.head().applied.version, 2U);
        }
        {
            SCOPED_TRACE("the base is not the newest version, or a rule is violated");
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

    // Guards against reporting a version in force as refused because the answer to its write was lost.
    TEST_F(ApplyOperationTest, ResolvesAWriteWithALostAnswer)
    {
        {
            SCOPED_TRACE("the write took effect: accepted without another write");
            driver_.headSwaps = 0;
            driver_.headSwapFaults = { SwapFault::LostAfterEffect };
            const ApplyOutcome outcome = apply(variant(2), "second");
            EXPECT_EQ(outcome.status, ApplyStatus::Accepted);
            EXPECT_EQ(outcome.version, 2U);
            EXPECT_EQ(driver_.headSwaps, 1U);
        }
        {
            SCOPED_TRACE("the write took effect, and another version was applied before the head was read");
            driver_.headSwapFaults = { SwapFault::LostAfterEffect };
            driver_.afterHeadSwap = [this] { apply(variant(4), "on-top"); };
            const ApplyOutcome outcome = apply(variant(3), "third");
            EXPECT_EQ(outcome.status, ApplyStatus::Accepted);
            EXPECT_EQ(outcome.version, 3U);
            EXPECT_EQ(driver_.head().applied.version, 4U);
        }
        {
            SCOPED_TRACE("the write did not take effect: it is repeated");
            driver_.headSwapFaults = { SwapFault::LostBeforeEffect, SwapFault::NotSent };
            EXPECT_EQ(apply(variant(5), "fifth").version, 5U);
        }
        {
            SCOPED_TRACE("the write did not take effect, and another apply was accepted first");
            driver_.headSwapFaults = { SwapFault::LostBeforeEffect };
            driver_.afterHeadSwap = [this] { apply(variant(7), "winner"); };
            const ApplyOutcome outcome = apply(variant(6), "loser");
            EXPECT_EQ(outcome.reason, ApplyRefusal::LostRace);
            EXPECT_EQ(outcome.winner->applyId, "winner");
        }
    }

    // Guards against an apply that replaces a version against which it was not checked.
    TEST_F(ApplyOperationTest, OneOfTwoConcurrentAppliesWins)
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

    // Guards against taking the absence of an apply id from the limited record of a head as proof.
    TEST_F(ApplyOperationTest, ReportsUnknownOutcome)
    {
        {
            SCOPED_TRACE("all further writes are lost too");
            driver_.headSwapFaults.assign(100, SwapFault::LostBeforeEffect);
            const ApplyOutcome outcome = apply(variant(2), "second");
            EXPECT_EQ(outcome.status, ApplyStatus::Unknown);
            EXPECT_THAT(outcome.details.back(), HasSubstr("--apply_id second --base_version 1"));
            EXPECT_LT(driver_.headSwaps, 20U);
            driver_.headSwapFaults.clear();
        }
        {
            SCOPED_TRACE("more versions than the head records were accepted since");
            driver_.headSwapFaults = { SwapFault::LostAfterEffect };
            driver_.afterHeadSwap = [this] {
                for (std::uint32_t i = 0; i < maxRecordedApplies; ++i)
                    apply(variant(100 + i), "later-" + std::to_string(i));
            };
            EXPECT_EQ(apply(variant(3), "third").status, ApplyStatus::Unknown);
        }
        {
            SCOPED_TRACE("no write was sent: unavailable, not unknown");
            driver_.headSwapFaults.assign(100, SwapFault::NotSent);
            EXPECT_EQ(apply(variant(4), "fourth").status, ApplyStatus::Unavailable);
        }
    }

    // Guards against overwriting another head whose revision is the same after the platform was restored from an older
    // copy.
    TEST_F(ApplyOperationTest, DetectsAReusedRevision)
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

    TEST_F(ApplyOperationTest, SplitsLargeContent)
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
        EXPECT_EQ(apply(variant(2), "small").version, 3U)
            << "the large base has to be read for the check of the change";
    }

    TEST_F(ApplyOperationTest, RefusesUnexpectedStoredData)
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
            SCOPED_TRACE("other text is stored under the key of the content");
            const std::string text = "[service x]";
            driver_.values[contentPartKey(driver_.head().applied.contentHash, 0)].value = text;
            EXPECT_EQ(apply(variant(2), "third").reason, ApplyRefusal::BadStore);
        }
        {
            SCOPED_TRACE("restored platform: the new version is above those in force");
            ApplyRequest restored = request(variant(4), "fourth");
            restored.allowUnreadableBase = true;
            restored.aboveVersion = 41;
            EXPECT_EQ(driver_.run(restored).version, 42U);
        }
    }

}
}
