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
    // How many balancers there are to choose from.
    std::size_t balancers = 0;
    double requestsPerSecond = 0;
    Duration runTime = std::chrono::seconds(10);
    // Simulated work is drawn evenly between the two.
    Duration minWork = std::chrono::milliseconds(5);
    Duration maxWork = std::chrono::milliseconds(50);
    Duration deadline = std::chrono::seconds(2);
    std::size_t maxAnswerBytes = 4096;
    // Further tries of one key, each at another balancer, after a try that was not answered.
    unsigned retries = 0;
    Duration retryPause = std::chrono::milliseconds(100);
    // The share of tries that the caller gives up after half their work time.
    double cancelShare = 0;
    std::size_t maxOpenRequests = 10'000;
    std::size_t maxRecords = 200'000;
};

// How one try of a request ended for its caller.
enum class RequestOutcome {
    Answered, // Whole, its own, from a server of its service.
    Refused, // Said to be not executed.
    Unknown, // Answered without a result; it may have been executed.
    Lost, // No answer.
    Cancelled, // Given up by the caller.
    WrongAnswer, // A success that is cut short, another request's, or another service's.
};

inline constexpr std::size_t requestOutcomeCount = 6;

std::string_view nameOf(RequestOutcome);

// What is wrong with a success that its caller could not take.
enum class AnswerFault {
    None,
    Incomplete, // The beginning of the caller's own answer, cut short.
    Foreign, // Anything else: the answer of another key, server or service.
};

std::string_view nameOf(AnswerFault);

struct RequestAttempt {
    RequestOutcome outcome = RequestOutcome::Lost;
    AnswerFault fault = AnswerFault::None;
    int status = 0;
    std::size_t balancer = 0;
    TimePoint sentAt;
    TimePoint endedAt;
    // Why a try was lost or its answer wrong.
    std::string detail;
};

// All that happened to one key.
struct RequestRecord {
    std::string key;
    std::string service;
    std::vector<RequestAttempt> attempts;
};

struct CallerRequestCounts {
    std::uint64_t requestsSent = 0;
    std::uint64_t attemptsSent = 0;
    // Requests that ended, by the outcome of their last try.
    std::array<std::uint64_t, requestOutcomeCount> ended {};
    // Those of the wrong answers that came from another service.
    std::uint64_t wrongServiceAnswers = 0;
    // Requests left out because of the limit on open ones.
    std::uint64_t skipped = 0;

    std::uint64_t endedAs(RequestOutcome outcome) const { return ended[static_cast<std::size_t>(outcome)]; }
};

// A try that is to be sent now.
struct PlannedRequest {
    std::uint64_t id = 0;
    std::size_t balancer = 0;
    HttpRequest request;
    TimePoint deadline;
    // When to give it up; TimePoint::max() for never.
    TimePoint cancelAt = TimePoint::max();
};

// Decides when synthetic callers send requests, and to which balancer, and checks every answer whole. Decides only;
// CallerStandIn moves the bytes.
class CallerRequests {
public:
    CallerRequests(CallerRequestOptions, TimePoint start);

    // Appends the tries that are due. To be called at nextEvent() or as soon after it as can be.
    void poll(TimePoint now, std::vector<PlannedRequest>& due);

    // The end of a try; to be called once for each planned one.
    void handle(std::uint64_t id, const HttpOutcome&, TimePoint now);

    TimePoint nextEvent() const;
    std::size_t openRequests() const { return open_.size(); }
    const CallerRequestCounts& counts() const { return counts_; }
    // Of requests that ended, up to the limit of the options.
    const std::vector<RequestRecord>& records() const { return records_; }

private:
    struct OpenRequest {
        RequestRecord record;
        std::size_t service = 0;
        std::size_t balancer = 0;
        std::size_t answerBytes = 0;
        Duration work {};
        TimePoint sentAt;
    };

    struct Retry {
        TimePoint at;
        std::uint64_t id = 0;

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
