#pragma once

#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace wisteriadock {

// The outcome of one attempt of a request, as in the callers' records.
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
    // Whether a wrong answer is a prefix of the right one.
    bool isIncomplete = false;
    // HTTP status; 0 without a response. A refusal with status 0 comes from the connection, not from a balancer.
    int status = 0;
    // Milliseconds of the monotonic clock, which all processes share.
    std::int64_t endedMilliseconds = 0;
};

// All attempts of a caller for one request key.
struct KeyAttempts {
    std::string key;
    std::vector<AttemptRecord> attempts;
};

// The executions of one request key on the backend servers.
struct KeyRuns {
    std::uint64_t runs = 0;
    std::int64_t firstStartMilliseconds = std::numeric_limits<std::int64_t>::max();
};

struct RequestFindings {
    // Keys whose execution started more than once.
    std::uint64_t doubleRuns = 0;
    // Keys that ran although a caller was told that they did not: by the last answer, by an answer received after the
    // run started, or because every attempt was refused.
    std::uint64_t falseRefusals = 0;
    // Successful answers to any attempt that belong to another key, server or service.
    std::uint64_t mixedAnswers = 0;
    // Successful answers to any attempt that were truncated.
    std::uint64_t incompleteAnswers = 0;
    // Keys that ended before the first unplanned failure and have an attempt without an answer, or whose last answer
    // was "unknown".
    std::uint64_t cutInFlight = 0;
    // Keys whose caller does not know after the last attempt whether they ran, and how many of these ran.
    std::uint64_t unknownOutcomes = 0;
    std::uint64_t unknownThatRan = 0;
    // Unknown outcomes by the HTTP status of the last answer; 0 for none.
    std::map<int, std::uint64_t> unknownByStatus;
    // Keys that were answered although no backend server ran them. Above 0, records are missing.
    std::uint64_t answeredWithoutRun = 0;
    // Number of keys in the records of the backend servers, and in those of the callers.
    std::uint64_t keysRun = 0;
    std::uint64_t keysRecorded = 0;
    // Descriptions of the first few violations.
    std::vector<std::string> examples;
};

// Compares the answers that callers received with the requests that backend servers ran. Used by scenario "requests"
// after the run. Uses no data from the balancers.
class RequestChecker {
public:
    static constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

    // Read the record file of wisteriadock-standin-caller, and the "servers" of wisteriadock-standin-backend's GET
    // /records. Fail with InvalidArgument when a field is missing or has the wrong type.
    Result<void> readCallers(const nlohmann::json& records);
    Result<void> readBackendServers(const nlohmann::json& servers);

    void addKey(KeyAttempts);
    void addRun(const std::string& key, const KeyRuns&);

    // Takes the time of the first unplanned failure in milliseconds of the shared clock, or `never`.
    RequestFindings check(std::int64_t firstFailureMilliseconds) const;

private:
    std::vector<KeyAttempts> keys_;
    std::map<std::string, KeyRuns> runs_;
};

}
