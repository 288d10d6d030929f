#pragma once

#include "FakeBalancer.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace wisteriadock::testing {

// Outcomes that callers and backend servers saw in one run.
struct FakeStatistics {
    std::uint64_t keys = 0;
    std::uint64_t attempts = 0;
    std::uint64_t answered = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t refusedUnknown = 0;
    std::uint64_t unanswered = 0; // No reply before the caller's timeout.
    std::uint64_t doubleRuns = 0;
    // "Not run" although a server had started the key when the refusal was decided.
    std::uint64_t falseRefusals = 0;
    // "Not run" as the last reply to the caller, although a server ran the key at any time.
    std::uint64_t finalFalseRefusals = 0;
    std::uint64_t mixedAnswers = 0;
    std::uint64_t incompleteAnswers = 0;
    std::uint64_t faults = 0;

    FakeStatistics& operator+=(const FakeStatistics&);
};

// Callers that send requests to random balancers and repeat the same key at other balancers until it is answered. Some
// send a duplicate while the first attempt is still in progress.
class FakeCallers {
public:
    explicit FakeCallers(FakeCluster&);

    // Starts one new key with this maximum number of attempts.
    void begin(int attempts);
    FakeStatistics statistics();

    double ticketProbability = 0.5;
    // Probability of a duplicate while an attempt is in progress. Duplicates may be refused as in progress.
    double duplicateProbability = 0.3;
    Duration timeout = milliseconds(1500);

private:
    struct Caller {
        FakeRequest request;
        int attemptsLeft = 0;
        int openAttempts = 0;
        bool isDone = false;
        bool isLastReplyNotRun = false;
    };

    void attempt(const std::shared_ptr<Caller>&);
    void receiveReply(const std::shared_ptr<Caller>&, const FakeReply&);
    void retryIn(const std::shared_ptr<Caller>&, Duration);
    void checkAnswer(const Caller&, const SharedResponse&);

    FakeCluster& cluster_;
    std::vector<std::shared_ptr<Caller>> callers_;
    FakeStatistics statistics_;
};

}
