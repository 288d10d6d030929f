#pragma once

#include "FakeBalancer.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace wisteriadock::testing {

// What callers and backend servers saw in one run.
struct FakeStatistics {
    std::uint64_t keys = 0;
    std::uint64_t attempts = 0;
    std::uint64_t answered = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t refusedUnknown = 0;
    std::uint64_t unanswered = 0; // No reply before the caller gave up on the try.
    std::uint64_t doubleRuns = 0;
    // "Not run" although a server had begun the key when the refusal was decided.
    std::uint64_t falseRefusals = 0;
    // "Not run" as the caller's last word, although a server ran the key before or after.
    std::uint64_t finalFalseRefusals = 0;
    std::uint64_t mixedAnswers = 0;
    std::uint64_t incompleteAnswers = 0;
    std::uint64_t faults = 0;

    FakeStatistics& operator+=(const FakeStatistics&);
};

// Callers who requestSlots any balancer and repeat the same key at another one until it is answered. Some are impatient
// and requestSlots again while the first try is still under way.
class FakeCallers {
public:
    explicit FakeCallers(FakeCluster&);

    // One new key, tried up to so many times.
    void begin(int attempts);
    FakeStatistics statistics();

    double ticketShare = 0.5;
    // How often a caller asks again while its try is still under way. Such a second try may rightly be told that the
    // work is in progress.
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
