#include "Experiment/RequestChecker.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    class RequestCheckerTest : public testing::Test {
    protected:
        static AttemptRecord answered(std::int64_t at) { return { AttemptOutcome::Answered, false, 200, at }; }
        static AttemptRecord refusedByBalancer(std::int64_t at) { return { AttemptOutcome::Refused, false, 503, at }; }
        static AttemptRecord refusedByConnection(std::int64_t at) { return { AttemptOutcome::Refused, false, 0, at }; }
        static AttemptRecord unknown(std::int64_t at) { return { AttemptOutcome::Unknown, false, 409, at }; }
        static AttemptRecord lost(std::int64_t at) { return { AttemptOutcome::Lost, false, 0, at }; }
        static AttemptRecord wrong(bool isIncomplete)
        {
            return { AttemptOutcome::WrongAnswer, isIncomplete, 200, 100 };
        }

        // Checks one key with these attempts, which ran `runs` times, first at 50 ms.
        static RequestFindings findingsOf(std::vector<AttemptRecord> attempts, std::uint64_t runs = 1,
            std::int64_t firstFailure = RequestChecker::never)
        {
            RequestChecker checker;
            checker.addKey({ "key", std::move(attempts) });
            if (runs > 0)
                checker.addRun("key", { runs, 50 });
            return checker.check(firstFailure);
        }
    };

    TEST_F(RequestCheckerTest, NoViolationForAnsweredKeyThatRanOnce)
    {
        const RequestFindings findings = findingsOf({ answered(100) });
        EXPECT_EQ(findings.doubleRuns, 0U);
        EXPECT_EQ(findings.falseRefusals, 0U);
        EXPECT_EQ(findings.cutInFlight, 0U);
        EXPECT_EQ(findings.unknownOutcomes, 0U);
        EXPECT_EQ(findings.keysRun, 1U);
        EXPECT_EQ(findings.keysRecorded, 1U);
        EXPECT_TRUE(findings.examples.empty());
    }

    TEST_F(RequestCheckerTest, CountsDoubleRunsOnOneOrTwoServers)
    {
        EXPECT_EQ(findingsOf({ answered(100) }, 2).doubleRuns, 1U);

        RequestChecker checker;
        checker.addKey({ "key", { answered(100) } });
        checker.addRun("key", { 1, 50 });
        checker.addRun("key", { 1, 70 });
        checker.addRun("nobody's", { 3, 50 });
        EXPECT_EQ(checker.check(RequestChecker::never).doubleRuns, 2U);
    }

    TEST_F(RequestCheckerTest, RefusalIsFalseIfTheKeyRan)
    {
        {
            SCOPED_TRACE("a refusal as the last answer, before or after the run started");
            EXPECT_EQ(findingsOf({ refusedByBalancer(100) }).falseRefusals, 1U);
            EXPECT_EQ(findingsOf({ refusedByBalancer(40) }).falseRefusals, 1U);
            EXPECT_EQ(findingsOf({ refusedByBalancer(40), refusedByConnection(60) }).falseRefusals, 1U);
        }
        {
            SCOPED_TRACE("an earlier refusal counts only if it came after the run started");
            EXPECT_EQ(findingsOf({ lost(60), refusedByBalancer(70), answered(100) }).falseRefusals, 1U);
            EXPECT_EQ(findingsOf({ refusedByBalancer(40), answered(100) }).falseRefusals, 0U);
        }
        {
            SCOPED_TRACE("every attempt was refused, by a balancer or by the connection");
            EXPECT_EQ(findingsOf({ refusedByConnection(100) }).falseRefusals, 1U);
            EXPECT_EQ(findingsOf({ lost(60), refusedByConnection(100) }).falseRefusals, 0U);
        }
        {
            SCOPED_TRACE("a key that did not run");
            EXPECT_EQ(findingsOf({ refusedByBalancer(40), refusedByBalancer(100) }, 0).falseRefusals, 0U);
        }
    }

    TEST_F(RequestCheckerTest, DistinguishesTruncatedFromMixedAnswers)
    {
        EXPECT_EQ(findingsOf({ wrong(true) }).incompleteAnswers, 1U);
        EXPECT_EQ(findingsOf({ wrong(true) }).mixedAnswers, 0U);
        EXPECT_EQ(findingsOf({ wrong(false) }).mixedAnswers, 1U);
        EXPECT_EQ(findingsOf({ wrong(false) }).incompleteAnswers, 0U);
    }

    TEST_F(RequestCheckerTest, CountsCutRequestsUntilTheFirstFailure)
    {
        EXPECT_EQ(findingsOf({ lost(60), answered(100) }).cutInFlight, 1U);
        EXPECT_EQ(findingsOf({ unknown(100) }).cutInFlight, 1U);
        EXPECT_EQ(findingsOf({ unknown(60), answered(100) }).cutInFlight, 0U);
        EXPECT_EQ(findingsOf({ refusedByConnection(60), answered(100) }).cutInFlight, 0U);
        EXPECT_EQ(findingsOf({ lost(100) }, 1, 101).cutInFlight, 1U);
        EXPECT_EQ(findingsOf({ lost(100) }, 1, 100).cutInFlight, 0U);
    }

    TEST_F(RequestCheckerTest, CountsUnknownOutcomes)
    {
        const RequestFindings ran = findingsOf({ lost(60), refusedByConnection(100) });
        EXPECT_EQ(ran.unknownOutcomes, 1U);
        EXPECT_EQ(ran.unknownThatRan, 1U);
        EXPECT_EQ(ran.unknownByStatus, (std::map<int, std::uint64_t> { { 0, 1 } }));
        const RequestFindings didNotRun = findingsOf({ unknown(60) }, 0);
        EXPECT_EQ(didNotRun.unknownOutcomes, 1U);
        EXPECT_EQ(didNotRun.unknownThatRan, 0U);
        EXPECT_EQ(findingsOf({ unknown(60), answered(100) }).unknownOutcomes, 0U);
    }

    TEST_F(RequestCheckerTest, CountsAnsweredKeysWithoutRun)
    {
        EXPECT_EQ(findingsOf({ answered(100) }, 0).answeredWithoutRun, 1U);
        EXPECT_EQ(findingsOf({ answered(100) }).answeredWithoutRun, 0U);
    }

    TEST_F(RequestCheckerTest, ReadsRecordsOfCallersAndBackendServers)
    {
        using Json = nlohmann::json;
        RequestChecker checker;
        const Json good = Json::parse(R"({"requests": [{"key": "a", "service": "tryon", "tries": [
            {"outcome": "lost", "answer_fault": "none", "status": 0, "ended_milliseconds": 60},
            {"outcome": "refused", "answer_fault": "none", "status": 503, "ended_milliseconds": 80}]}]})");
        ASSERT_TRUE(checker.readCallers(good));
        const Json servers = Json::parse(R"({
            "tryon-01": {"keys": {"a": {"runs": 1, "records": [{"started_milliseconds": 70}]}}},
            "tryon-02": {"keys": {"a": {"runs": 1, "records": [{"started_milliseconds": 90}]}}}})");
        ASSERT_TRUE(checker.readBackendServers(servers));
        const RequestFindings findings = checker.check(RequestChecker::never);
        EXPECT_EQ(findings.doubleRuns, 1U);
        EXPECT_EQ(findings.falseRefusals, 1U);
        ASSERT_FALSE(findings.examples.empty());
        EXPECT_EQ(findings.examples.front(),
            "double run a: 2 runs, the first at 70 ms; lost 0 at 60 ms; refused 503 at 80 ms");

        EXPECT_FALSE(RequestChecker().readCallers(Json::object()));
        EXPECT_FALSE(RequestChecker().readCallers(Json::parse(R"({"requests": [{"key": "a", "tries": []}]})")));
        EXPECT_FALSE(RequestChecker().readCallers(Json::parse(R"({"requests": [{"key": "a", "tries": [
            {"outcome": "odd", "answer_fault": "none", "status": 0, "ended_milliseconds": 60}]}]})")));
        EXPECT_FALSE(RequestChecker().readBackendServers(Json::parse(R"({"tryon-01": {}})")));
    }

}
}
