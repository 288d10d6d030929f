#include "Configuration/HeadReader.h"

#include "Configuration/ApplyDriver.h"
#include "Configuration/ExampleConfiguration.h"

#include <gmock/gmock.h>

#include <random>

namespace wisteriadock {
namespace {

    class HeadReaderTest : public testing::Test {
    protected:
        void apply(std::uint32_t number)
        {
            ApplyRequest request;
            request.configuration = parsed(exampleText);
            request.configuration.services[0].flowIdleSeconds = number;
            request.applyId = "apply-" + std::to_string(number);
            EXPECT_EQ(driver_.run(request).status, ApplyStatus::Accepted);
        }

        // Reads the head and all parts that the reader requests.
        HeadAction read()
        {
            HeadAction action = reader_.handleHead(driver_.values.at(std::string(configurationHeadKey)).value);
            while (const auto* fetch = std::get_if<FetchPart>(&action)) {
                const auto found = driver_.values.find(fetch->key);
                if (found == driver_.values.end())
                    action = reader_.handlePart(Error { ErrorCode::NotFound, fetch->key });
                else
                    action = reader_.handlePart(found->second.value);
            }
            return action;
        }

        HeadProblemKind problemOf(const HeadAction& action)
        {
            const auto* problem = std::get_if<HeadProblem>(&action);
            EXPECT_NE(problem, nullptr);
            return problem ? problem->kind : HeadProblemKind::Unreachable;
        }

        ApplyDriver driver_;
        HeadReader reader_;
    };

    TEST_F(HeadReaderTest, ReturnsEachVersionOnce)
    {
        apply(1);
        const HeadAction first = read();
        ASSERT_TRUE(std::holds_alternative<PutInForce>(first));
        EXPECT_EQ(std::get<PutInForce>(first).version.configuration.services[0].flowIdleSeconds, 1U);
        EXPECT_TRUE(std::holds_alternative<NothingNew>(read()));
        apply(2);
        EXPECT_TRUE(std::holds_alternative<PutInForce>(read()));
        EXPECT_EQ(reader_.inForce()->version, 2U);
    }

    // Guards against reverting an accepted change after the platform was restored from an older copy.
    TEST_F(HeadReaderTest, RefusesARestoredOlderCopy)
    {
        apply(1);
        apply(2);
        const auto olderCopy = driver_.values;
        apply(3);
        read();
        driver_.values = olderCopy;
        {
            SCOPED_TRACE("the older head is reported and not applied");
            EXPECT_EQ(problemOf(read()), HeadProblemKind::OlderCopy);
        }
        {
            SCOPED_TRACE("the version in force with other content is refused");
            apply(4);
            EXPECT_EQ(driver_.head().applied.version, 3U);
            EXPECT_EQ(problemOf(read()), HeadProblemKind::OlderCopy);
            EXPECT_EQ(reader_.inForce()->applyId, "apply-3");
        }
        {
            SCOPED_TRACE("a higher version is applied");
            apply(5);
            EXPECT_TRUE(std::holds_alternative<PutInForce>(read()));
        }
    }

    // Guards against putting incomplete content in force, from which services are missing.
    TEST_F(HeadReaderTest, RefusesIncompleteContent)
    {
        apply(1);
        read();
        apply(2);
        const std::string key = contentPartKey(driver_.head().applied.contentHash, 0);
        const StoredValue whole = driver_.values.at(key);
        {
            SCOPED_TRACE("a part is missing");
            driver_.values.erase(key);
            EXPECT_EQ(problemOf(read()), HeadProblemKind::PartMissing);
        }
        {
            SCOPED_TRACE("a part is truncated or too long");
            for (const std::string& text : { whole.value.substr(0, 40), whole.value + "x" }) {
                driver_.values[key].value = text;
                EXPECT_EQ(problemOf(read()), HeadProblemKind::WrongContent);
            }
        }
        {
            SCOPED_TRACE("the platform is unreachable between head and part");
            reader_.handleHead(driver_.values.at(std::string(configurationHeadKey)).value);
            EXPECT_EQ(
                problemOf(reader_.handlePart(Error { ErrorCode::DeadlineExceeded, "" })), HeadProblemKind::Unreachable);
        }
        EXPECT_EQ(reader_.inForce()->version, 1U);
        driver_.values[key] = whole;
        EXPECT_TRUE(std::holds_alternative<PutInForce>(read()));
    }

    TEST_F(HeadReaderTest, RefusesMalformedHeads)
    {
        apply(1);
        const std::string valid = driver_.values.at(std::string(configurationHeadKey)).value;
        EXPECT_EQ(ConfigurationHead::parse(valid).value().toJson(), valid);
        for (const auto& [from, to] : std::map<std::string, std::string> { { "\"format\":1", "\"format\":2" },
                 { "\"version\":1", "\"version\":0" }, { "\"version\":1", "\"version\":-1" },
                 { "\"content_parts\":1", "\"content_parts\":1000000" }, { "\"apply_id\":\"", "\"apply_id\":\"/" },
                 { "\"content_hash\":\"", "\"content_hash\":\"../" }, { "[]", "[{}]" }, { "[]", "7" } }) {
            SCOPED_TRACE(to);
            std::string broken = valid;
            broken.replace(broken.find(from), from.size(), to);
            EXPECT_EQ(problemOf(reader_.handleHead(broken)), HeadProblemKind::Malformed);
        }

        std::mt19937 random(11);
        for (int round = 0; round < 2000; ++round) {
            std::string garbage = valid;
            garbage[random() % garbage.size()] = static_cast<char>(random());
            garbage.resize(random() % (garbage.size() + 1));
            reader_.handleHead(garbage);
        }
    }

}
}
