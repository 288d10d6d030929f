#include "StandIns/CallerRequests.h"

#include "Core/Hash.h"
#include "Core/NameTable.h"
#include "StandIns/AnswerBody.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriadock {

namespace {

    // Allows an answer that is sent at the deadline to arrive.
    constexpr Duration answerGracePeriod = std::chrono::milliseconds(500);
    constexpr int okStatus = 200;

    constexpr auto outcomeNames = makeNameTable<RequestOutcome>({
        { RequestOutcome::Answered, "answered" },
        { RequestOutcome::Refused, "refused" },
        { RequestOutcome::Unknown, "unknown" },
        { RequestOutcome::Lost, "lost" },
        { RequestOutcome::Cancelled, "cancelled" },
        { RequestOutcome::WrongAnswer, "wrong_answer" },
    });

    constexpr auto faultNames = makeNameTable<AnswerFault>({
        { AnswerFault::None, "none" },
        { AnswerFault::Incomplete, "incomplete" },
        { AnswerFault::Foreign, "foreign" },
    });

    std::string millisecondsText(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }

    // Whether a refusal states, in a problem+json body or in a header, that the request was not executed.
    bool saysNotExecuted(const HttpResponse& response)
    {
        const auto body = nlohmann::json::parse(response.body, nullptr, false);
        if (body.is_object() && body.contains("executed"))
            return body["executed"] == "no";
        return response.header(stand_in_headers::executed) == "no";
    }

    // Whether an attempt without an answer is known not to have been executed.
    bool isKnownNotExecuted(HttpFailureKind kind)
    {
        return kind == HttpFailureKind::NotSent || kind == HttpFailureKind::Refused;
    }

    RequestOutcome outcomeOf(HttpFailureKind kind)
    {
        if (isKnownNotExecuted(kind))
            return RequestOutcome::Refused;
        return kind == HttpFailureKind::Cancelled ? RequestOutcome::Cancelled : RequestOutcome::Lost;
    }

}

static_assert(outcomeNames.rows().size() == requestOutcomeCount);

std::string_view nameOf(RequestOutcome outcome) { return outcomeNames.name(outcome); }

std::string_view nameOf(AnswerFault fault) { return faultNames.name(fault); }

CallerRequests::CallerRequests(CallerRequestOptions options, TimePoint start)
    : options_(std::move(options))
    , start_(start)
    , random_(hashPair(options_.seed, 3))
    , nextOpening_(start)
{
}

void CallerRequests::poll(TimePoint now, std::vector<PlannedRequest>& due)
{
    while (options_.requestsPerSecond > 0 && nextOpening_ <= now && nextOpening_ < start_ + options_.runTime) {
        openRequest(now, due);
        const double gapSeconds = -std::log1p(-random_.nextUniform()) / options_.requestsPerSecond;
        nextOpening_ += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gapSeconds));
    }
    while (!retries_.empty() && retries_.top().at <= now) {
        const std::uint64_t id = retries_.top().id;
        retries_.pop();
        due.push_back(planAttempt(id, open_.find(id)->second, now));
    }
}

void CallerRequests::handle(std::uint64_t id, const HttpOutcome& outcome, TimePoint now)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    OpenRequest& open = found->second;
    RequestAttempt result = classify(open, outcome);
    result.balancer = open.balancer;
    result.sentAt = open.sentAt;
    result.endedAt = now;
    const RequestOutcome classified = result.outcome;
    open.record.attempts.push_back(std::move(result));

    const bool isFinal = classified == RequestOutcome::Answered || classified == RequestOutcome::WrongAnswer
        || classified == RequestOutcome::Cancelled;
    if (isFinal || open.record.attempts.size() > options_.retries)
        finish(id, classified);
    else
        retries_.push({ now + options_.retryPause, id });
}

TimePoint CallerRequests::nextEvent() const
{
    TimePoint next = TimePoint::max();
    if (options_.requestsPerSecond > 0 && nextOpening_ < start_ + options_.runTime)
        next = nextOpening_;
    if (!retries_.empty())
        next = std::min(next, retries_.top().at);
    return next;
}

void CallerRequests::openRequest(TimePoint now, std::vector<PlannedRequest>& due)
{
    const std::uint64_t id = nextId_++;
    OpenRequest open;
    open.service = random_.next() % options_.services.size();
    open.answerBytes = 1 + random_.next() % options_.maxAnswerBytes;
    const double workSpread = static_cast<double>((options_.maxWork - options_.minWork).count());
    open.work = options_.minWork + Duration(static_cast<Duration::rep>(workSpread * random_.nextUniform()));
    open.balancer = random_.next() % options_.balancers;
    open.record.key = fmt::format("{:x}-{}", options_.seed, id);
    open.record.service = options_.services[open.service].name;
    if (open_.size() >= options_.maxOpenRequests) {
        ++counts_.skipped;
        return;
    }
    ++counts_.requestsSent;
    due.push_back(planAttempt(id, open_.emplace(id, std::move(open)).first->second, now));
}

PlannedRequest CallerRequests::planAttempt(std::uint64_t id, OpenRequest& open, TimePoint now)
{
    // A retry is sent to another balancer than the previous attempt.
    if (!open.record.attempts.empty() && options_.balancers > 1)
        open.balancer = (open.balancer + 1 + random_.next() % (options_.balancers - 1)) % options_.balancers;
    open.sentAt = now;
    ++counts_.attemptsSent;

    PlannedRequest planned;
    planned.id = id;
    planned.balancer = open.balancer;
    planned.deadline = now + options_.deadline + answerGracePeriod;
    if (random_.nextUniform() < options_.cancelShare)
        planned.cancelAt = now + open.work / 2;
    planned.request.method = "POST";
    planned.request.path = "/work";
    planned.request.authority = open.record.service;
    planned.request.headers = {
        { std::string(stand_in_headers::idempotencyKey), open.record.key },
        { std::string(stand_in_headers::workMilliseconds), millisecondsText(open.work) },
        { std::string(stand_in_headers::deadlineMilliseconds), millisecondsText(options_.deadline) },
        { std::string(stand_in_headers::answerBytes), std::to_string(open.answerBytes) },
    };
    return planned;
}

RequestAttempt CallerRequests::classify(const OpenRequest& open, const HttpOutcome& outcome)
{
    if (outcome)
        return classifyResponse(open, outcome.value());
    RequestAttempt result;
    result.outcome = outcomeOf(outcome.error().kind);
    result.detail = fmt::format("{}: {}", nameOf(outcome.error().kind), outcome.error().detail);
    return result;
}

RequestAttempt CallerRequests::classifyResponse(const OpenRequest& open, const HttpResponse& response)
{
    RequestAttempt result;
    result.status = response.status;
    if (response.status != okStatus) {
        result.outcome = saysNotExecuted(response) ? RequestOutcome::Refused : RequestOutcome::Unknown;
        return result;
    }
    checkAnswer(open, response, result);
    result.outcome = result.fault == AnswerFault::None ? RequestOutcome::Answered : RequestOutcome::WrongAnswer;
    return result;
}

void CallerRequests::checkAnswer(const OpenRequest& open, const HttpResponse& response, RequestAttempt& result)
{
    const std::string_view server = response.header(stand_in_headers::backendServer);
    const std::string_view service = response.header(stand_in_headers::service);
    if (service != open.record.service) {
        ++counts_.wrongServiceAnswers;
        result.fault = AnswerFault::Foreign;
        result.detail = fmt::format("answered by service '{}'", service);
        return;
    }
    const std::string expected = answerBodyOf(open.record.key, server, open.answerBytes);
    if (response.body == expected)
        return;
    result.fault = expected.starts_with(response.body) ? AnswerFault::Incomplete : AnswerFault::Foreign;
    result.detail = fmt::format(
        "{} bytes from '{}'; expected its {} bytes for this key", response.body.size(), server, open.answerBytes);
}

void CallerRequests::finish(std::uint64_t id, RequestOutcome outcome)
{
    ++counts_.ended[static_cast<std::size_t>(outcome)];
    const auto found = open_.find(id);
    if (records_.size() < options_.maxRecords)
        records_.push_back(std::move(found->second.record));
    open_.erase(found);
}

}
