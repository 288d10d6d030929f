#include "StandIns/CallerRequests.h"
#include "StandIns/AnswerBody.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    class CallerRequestsTest : public testing::Test {
    protected:
        static CallerRequestOptions options()
        {
            CallerRequestOptions options;
            options.services = { { "tryon", serviceIdOf("tryon"), { 0xC0000201, 443 }, 1 } };
            options.balancers = 3;
            options.requestsPerSecond = 1000;
            options.runTime = milliseconds(1);
            return options;
        }

        static HttpResponse goodAnswer(const HttpRequest& request)
        {
            const std::size_t size = std::stoul(std::string(request.header("x-answer-bytes")));
            return { 200, { { "x-backend-server", "tryon-1" }, { "x-service", "tryon" } },
                answerBodyOf(request.header("idempotency-key"), "tryon-1", size) };
        }

        PlannedRequest onlyPlanned(CallerRequests& requests)
        {
            std::vector<PlannedRequest> due;
            requests.poll(clock_.now(), due);
            EXPECT_GE(due.size(), 1U);
            return due.empty() ? PlannedRequest {} : due[0];
        }

        RequestOutcome outcomeOf(const HttpOutcome& outcome)
        {
            CallerRequests requests(options(), clock_.now());
            requests.handle(onlyPlanned(requests).id, outcome, clock_.now());
            EXPECT_EQ(requests.records().size(), 1U);
            return requests.records().at(0).attempts.at(0).outcome;
        }

        ManualClock clock_;
    };

    TEST_F(CallerRequestsTest, OnlyTheCompleteExpectedAnswerIsAccepted)
    {
        CallerRequests requests(options(), clock_.now());
        const PlannedRequest planned = onlyPlanned(requests);
        EXPECT_EQ(planned.request.authority, "tryon");
        EXPECT_LT(planned.balancer, 3U);
        requests.handle(planned.id, goodAnswer(planned.request), clock_.now());
        EXPECT_EQ(requests.counts().endedAs(RequestOutcome::Answered), 1U);

        const auto countsAfter = [&](const std::function<void(HttpResponse&)>& alter) {
            CallerRequests others(options(), clock_.now());
            const PlannedRequest other = onlyPlanned(others);
            HttpResponse answer = goodAnswer(other.request);
            alter(answer);
            others.handle(other.id, answer, clock_.now());
            return others.counts();
        };
        EXPECT_EQ(
            countsAfter([](HttpResponse& answer) { answer.body.pop_back(); }).endedAs(RequestOutcome::WrongAnswer), 1U);
        EXPECT_EQ(
            countsAfter([](HttpResponse& answer) { answer.body.back() ^= 1; }).endedAs(RequestOutcome::WrongAnswer),
            1U);
        EXPECT_EQ(countsAfter([](HttpResponse& answer) {
            answer.headers[0].value = "tryon-2";
        }).endedAs(RequestOutcome::WrongAnswer),
            1U);
        const auto foreign = countsAfter([](HttpResponse& answer) { answer.headers[1].value = "scanintake"; });
        EXPECT_EQ(foreign.endedAs(RequestOutcome::WrongAnswer), 1U);
        EXPECT_EQ(foreign.wrongServiceAnswers, 1U);
    }

    TEST_F(CallerRequestsTest, TruncatedAndForeignAnswersAreDistinguished)
    {
        const auto faultOf = [&](const std::function<void(HttpResponse&)>& alter) {
            CallerRequests requests(options(), clock_.now());
            const PlannedRequest planned = onlyPlanned(requests);
            HttpResponse answer = goodAnswer(planned.request);
            alter(answer);
            requests.handle(planned.id, answer, clock_.now());
            return requests.records().at(0).attempts.at(0).fault;
        };
        EXPECT_EQ(faultOf([](HttpResponse&) {}), AnswerFault::None);
        EXPECT_EQ(faultOf([](HttpResponse& answer) { answer.body.pop_back(); }), AnswerFault::Incomplete);
        EXPECT_EQ(faultOf([](HttpResponse& answer) { answer.body.clear(); }), AnswerFault::Incomplete);
        EXPECT_EQ(faultOf([](HttpResponse& answer) { answer.body.back() ^= 1; }), AnswerFault::Foreign);
        EXPECT_EQ(faultOf([](HttpResponse& answer) { answer.body += 'x'; }), AnswerFault::Foreign);
        EXPECT_EQ(faultOf([](HttpResponse& answer) { answer.headers[1].value = "scanintake"; }), AnswerFault::Foreign);
    }

    TEST_F(CallerRequestsTest, OutcomesOfResponsesAndFailures)
    {
        EXPECT_EQ(outcomeOf(HttpResponse { 503, {}, R"({"executed": "no"})" }), RequestOutcome::Refused);
        EXPECT_EQ(outcomeOf(HttpResponse { 429, { { "x-executed", "no" } }, "" }), RequestOutcome::Refused);
        EXPECT_EQ(outcomeOf(HttpResponse { 503, {}, R"({"executed": "unknown"})" }), RequestOutcome::Unknown);
        EXPECT_EQ(outcomeOf(HttpResponse { 500, {}, "garbage" }), RequestOutcome::Unknown);
        EXPECT_EQ(outcomeOf(HttpFailure { HttpFailureKind::Refused, "" }), RequestOutcome::Refused);
        EXPECT_EQ(outcomeOf(HttpFailure { HttpFailureKind::NotSent, "" }), RequestOutcome::Refused);
        EXPECT_EQ(outcomeOf(HttpFailure { HttpFailureKind::Lost, "" }), RequestOutcome::Lost);
        EXPECT_EQ(outcomeOf(HttpFailure { HttpFailureKind::Incomplete, "" }), RequestOutcome::Lost);
        EXPECT_EQ(outcomeOf(HttpFailure { HttpFailureKind::Cancelled, "" }), RequestOutcome::Cancelled);
    }

    TEST_F(CallerRequestsTest, RetriesUseTheSameKeyAtAnotherBalancer)
    {
        CallerRequestOptions retrying = options();
        retrying.retries = 1;
        CallerRequests requests(retrying, clock_.now());
        const PlannedRequest first = onlyPlanned(requests);
        requests.handle(first.id, HttpFailure { HttpFailureKind::Lost, "" }, clock_.now());
        EXPECT_EQ(requests.openRequests(), requests.counts().requestsSent);

        clock_.advance(seconds(1));
        const PlannedRequest second = onlyPlanned(requests);
        EXPECT_EQ(second.request.header("idempotency-key"), first.request.header("idempotency-key"));
        EXPECT_NE(second.balancer, first.balancer);
        requests.handle(second.id, HttpFailure { HttpFailureKind::Lost, "" }, clock_.now());
        EXPECT_EQ(requests.counts().endedAs(RequestOutcome::Lost), 1U);
        EXPECT_EQ(requests.records().at(0).attempts.size(), 2U);
    }

}
}
