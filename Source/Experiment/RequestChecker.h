#pragma once

#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace wisteriadock {

// How one try of a request ended for its caller, as the callers' records name it.
enum class AttemptOutcome {
    Answered,
    Refused,
    Unknown,
    Lost,
    Cancelled,
    WrongAnswer,
};

struct AttemptRecord {
    AttemptOutcome outcome = AttemptOutcome::Lost;
    // Of a wrong answer: whether it is the beginning of the right one.
    bool isIncomplete = false;
    // 0 without an answer: a refusal is then the word of the connection, not of a balancer.
    int status = 0;
    // Milliseconds of the monotonic clock that all processes share.
    std::int64_t endedMilliseconds = 0;
};

// What a caller saw of one key.
struct KeyAttempts {
    std::string key;
    std::vector<AttemptRecord> attempts;
};

// What the backend servers did for one key.
struct KeyRuns {
    std::uint64_t runs = 0;
    std::int64_t firstStartMilliseconds = std::numeric_limits<std::int64_t>::max();
};

struct RequestFindings {
    // Keys that the backend servers began to run more than once.
    std::uint64_t doubleRuns = 0;
    // Keys that ran although a caller was told that they did not: by the last answer it got, by an answer that came
    // after the run began, or because each of its tries was refused.
    std::uint64_t falseRefusals = 0;
    // Successes, of any try, that belong to another key, server or service.
    std::uint64_t mixedAnswers = 0;
    // Successes, of any try, that were cut short.
    std::uint64_t incompleteAnswers = 0;
    // Keys that ended before the first unplanned failure and of which a try stayed without an answer or the last one
    // said unknown.
    std::uint64_t cutInFlight = 0;
    // Keys whose caller does not know in the end whether they ran, and those of them that ran.
    std::uint64_t unknownOutcomes = 0;
    std::uint64_t unknownThatRan = 0;
    // The former by the HTTP status of the last answer; 0 stands for none.
    std::map<int, std::uint64_t> unknownByStatus;
    // Keys that were answered although no backend server ran them: above 0, records are missing.
    std::uint64_t answeredWithoutRun = 0;
    // All keys that a backend server ran, and the keys of callers.
    std::uint64_t keysRun = 0;
    std::uint64_t keysRecorded = 0;
    // The first few keys that broke a promise, each with what is wrong.
    std::vector<std::string> examples;
};

// Compares what the callers got with what the backend servers ran. Knows nothing of what balancers say about
// themselves.
class RequestChecker {
public:
    static constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

    // The records as the stand-ins write them: the callers' record file, and the servers of GET /records. Fail with
    // InvalidArgument when a part is missing.
    Result<void> readCallers(const nlohmann::json& records);
    Result<void> readBackendServers(const nlohmann::json& servers);

    void addKey(KeyAttempts);
    void addRun(const std::string& key, const KeyRuns&);

    // The first unplanned failure began at this time, in milliseconds of the shared clock, or never.
    RequestFindings check(std::int64_t firstFailureMilliseconds) const;

private:
    std::vector<KeyAttempts> keys_;
    std::map<std::string, KeyRuns> runs_;
};

}
