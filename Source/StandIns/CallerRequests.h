#pragma once

#include "Core/Clock.h"
#include "Net/Http2Client.h"
#include "Net/HttpMessage.h"
#include "StandIns/CallerFlowTypes.h"
#include "StandIns/SeededRandom.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

struct CallerRequestOptions {
    std::uint64_t seed = 1;
    std::vector<CallerService> services;
    // The number of balancers.
    std::size_t balancers = 0;
    double requestsPerSecond = 0;
    Duration runTime = std::chrono::seconds(10);
    // The simulated work of a request is uniformly distributed between minWork and maxWork.
    Duration minWork = std::chrono::milliseconds(5);
    Duration maxWork = std::chrono::milliseconds(50);
    Duration deadline = std::chrono::seconds(2);
    std::size_t maxAnswerBytes = 4096;
    // The maximum number of retries of a key, each sent to another balancer than the previous attempt. An attempt is
    // retried when it was refused, lost or answered without a result.
    unsigned retries = 0;
    Duration retryPause = std::chrono::milliseconds(100);
    // The share of attempts (0 to 1) that the caller cancels after half their work time.
    double cancelShare = 0;
    std::size_t maxOpenRequests = 10'000;
    std::size_t maxRecords = 200'000;
};

// How an attempt of a request ended for the caller.
enum class RequestOutcome {
    Answered, // The complete expected answer from a server of the right service.
    Refused, // Reported as not executed.
    Unknown, // Answered without a result; the request may have been executed.
    Lost, // No answer; the request may have been executed.
    Cancelled, // Cancelled by the caller.
    WrongAnswer, // A success whose body is truncated or belongs to another request or service.
};

inline constexpr std::size_t requestOutcomeCount = 6;

std::string_view nameOf(RequestOutcome);

// What is wrong with a successful answer.
enum class AnswerFault {
    None,
    Incomplete, // The expected body, truncated.
    Foreign, // Any other body, such as that of another key, server or service.
};

std::string_view nameOf(AnswerFault);

struct RequestAttempt {
    RequestOutcome outcome = RequestOutcome::Lost;
    AnswerFault fault = AnswerFault::None;
    // The HTTP status; 0 without an answer.
    int status = 0;
    // The index of the balancer.
    std::size_t balancer = 0;
    TimePoint sentAt;
    TimePoint endedAt;
    // Why the attempt failed or its answer was wrong.
    std::string detail;
};

// All attempts of one request. The key is its idempotency key.
struct RequestRecord {
    std::string key;
    std::string service;
    std::vector<RequestAttempt> attempts;
};

struct CallerRequestCounts {
    std::uint64_t requestsSent = 0;
    std::uint64_t attemptsSent = 0;
    // Ended requests by the outcome of their last attempt.
    std::array<std::uint64_t, requestOutcomeCount> ended {};
    // Successes from a server of another service, part of the wrong answers.
    std::uint64_t wrongServiceAnswers = 0;
    // Requests not sent because of maxOpenRequests.
    std::uint64_t skipped = 0;

    std::uint64_t endedAs(RequestOutcome outcome) const { return ended[static_cast<std::size_t>(outcome)]; }
};

// An attempt that is to be sent now.
struct PlannedRequest {
    std::uint64_t id = 0;
    std::size_t balancer = 0;
    HttpRequest request;
    TimePoint deadline;
    // When to cancel the attempt; TimePoint::max() for never.
    TimePoint cancelAt = TimePoint::max();
};

// Generates the requests of simulated callers: decides when each is sent and to which balancer, and checks every answer
// byte by byte. Does no I/O; CallerStandIn sends the requests and passes the outcomes in.
class CallerRequests {
public:
    CallerRequests(CallerRequestOptions, TimePoint start);

    // Appends the attempts that are due. To be called at nextEvent() or as soon as possible after it.
    void poll(TimePoint now, std::vector<PlannedRequest>& due);

    // Handles the outcome of an attempt. To be called once for each planned attempt.
    void handle(std::uint64_t id, const HttpOutcome&, TimePoint now);

    TimePoint nextEvent() const;
    std::size_t openRequests() const { return open_.size(); }
    const CallerRequestCounts& counts() const { return counts_; }
    // The first ended requests, up to maxRecords of the options.
    const std::vector<RequestRecord>& records() const { return records_; }

private:
    struct OpenRequest {
        RequestRecord record;
        // Index into the options' services.
        std::size_t service = 0;
        std::size_t balancer = 0;
        std::size_t answerBytes = 0;
        Duration work {};
        TimePoint sentAt;
    };

    struct Retry {
        TimePoint at;
        std::uint64_t id = 0;

        // Orders the queue: earliest first, then by id.
        bool operator<(const Retry& other) const { return at != other.at ? at > other.at : id > other.id; }
    };

    void openRequest(TimePoint now, std::vector<PlannedRequest>& due);
    PlannedRequest planAttempt(std::uint64_t id, OpenRequest&, TimePoint now);
    RequestAttempt classify(const OpenRequest&, const HttpOutcome&);
    RequestAttempt classifyResponse(const OpenRequest&, const HttpResponse&);
    void checkAnswer(const OpenRequest&, const HttpResponse&, RequestAttempt&);
    void finish(std::uint64_t id, RequestOutcome);

    CallerRequestOptions options_;
    TimePoint start_;
    SeededRandom random_;
    TimePoint nextOpening_;
    std::uint64_t nextId_ = 0;
    absl::flat_hash_map<std::uint64_t, OpenRequest> open_;
    std::priority_queue<Retry> retries_;
    CallerRequestCounts counts_;
    std::vector<RequestRecord> records_;
};

}
