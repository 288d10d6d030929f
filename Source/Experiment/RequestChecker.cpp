#include "Experiment/RequestChecker.h"

#include "Core/NameTable.h"

#include <fmt/format.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t exampleLimit = 10;

    constexpr auto outcomeNames = makeNameTable<AttemptOutcome>({
        { AttemptOutcome::Answered, "answered" },
        { AttemptOutcome::Refused, "refused" },
        { AttemptOutcome::Unknown, "unknown" },
        { AttemptOutcome::Lost, "lost" },
        { AttemptOutcome::Cancelled, "cancelled" },
        { AttemptOutcome::WrongAnswer, "wrong_answer" },
    });

    Error malformed(const char* where, const std::string& why)
    {
        return { ErrorCode::InvalidArgument, fmt::format("{}: {}", where, why) };
    }

    Result<AttemptRecord> attemptOf(const Json& row)
    {
        AttemptRecord record;
        const std::string name = row.at("outcome").get<std::string>();
        const auto outcome = outcomeNames.value(name);
        if (!outcome)
            return malformed("the callers' records", fmt::format("unknown outcome '{}'", name));
        record.outcome = *outcome;
        record.isIncomplete = row.at("answer_fault") == "incomplete";
        record.status = row.at("status").get<int>();
        record.endedMilliseconds = row.at("ended_milliseconds").get<std::int64_t>();
        return record;
    }

    Result<KeyAttempts> keyOf(const Json& row)
    {
        KeyAttempts key { row.at("key").get<std::string>(), {} };
        for (const Json& each : row.at("tries")) {
            BOOST_OUTCOME_TRY(record, attemptOf(each));
            key.attempts.push_back(record);
        }
        if (key.attempts.empty())
            return malformed("the callers' records", fmt::format("key '{}' has no attempts", key.key));
        return key;
    }

    bool reportsNotRun(const AttemptRecord& record)
    {
        return record.outcome == AttemptOutcome::Refused && record.status != 0;
    }

    // A failed connection or a stream reset shows only that this attempt did not run.
    bool isRefusedWithoutAnswer(const AttemptRecord& record)
    {
        return record.outcome == AttemptOutcome::Refused && record.status == 0;
    }

    bool isUnknown(const AttemptRecord& record)
    {
        return record.outcome == AttemptOutcome::Unknown || record.outcome == AttemptOutcome::Lost
            || record.outcome == AttemptOutcome::Cancelled;
    }

    // The last attempt that gives information about the key. An attempt that reached no balancer gives none.
    const AttemptRecord& lastConclusiveAttempt(const KeyAttempts& key)
    {
        const auto found = std::find_if_not(key.attempts.rbegin(), key.attempts.rend(), isRefusedWithoutAnswer);
        return found == key.attempts.rend() ? key.attempts.back() : *found;
    }

    bool isFalselyRefused(const KeyAttempts& key, const KeyRuns& runs)
    {
        if (runs.runs == 0)
            return false;
        const bool saidAfterStart = std::ranges::any_of(key.attempts, [&](const AttemptRecord& record) {
            return reportsNotRun(record) && record.endedMilliseconds > runs.firstStartMilliseconds;
        });
        const bool allRefused = std::ranges::all_of(
            key.attempts, [](const AttemptRecord& record) { return record.outcome == AttemptOutcome::Refused; });
        return saidAfterStart || allRefused || reportsNotRun(lastConclusiveAttempt(key));
    }

    bool isCut(const KeyAttempts& key)
    {
        const bool lost = std::ranges::any_of(
            key.attempts, [](const AttemptRecord& record) { return record.outcome == AttemptOutcome::Lost; });
        return lost || lastConclusiveAttempt(key).outcome == AttemptOutcome::Unknown;
    }

    std::string describe(const char* what, const std::string& key, const KeyAttempts* attempts, const KeyRuns& runs)
    {
        std::string text = fmt::format("{} {}: {} runs", what, key, runs.runs);
        if (runs.runs > 0)
            text += fmt::format(", the first at {} ms", runs.firstStartMilliseconds);
        if (!attempts)
            return text;
        for (const AttemptRecord& record : attempts->attempts)
            text += fmt::format(
                "; {} {} at {} ms", outcomeNames.name(record.outcome), record.status, record.endedMilliseconds);
        return text;
    }

    // Counts violations and keeps descriptions of the first few.
    class FindingsRecorder {
    public:
        explicit FindingsRecorder(RequestFindings& findings)
            : findings_(findings)
        {
        }

        void count(std::uint64_t& counter, const char* what, const KeyAttempts& key, const KeyRuns& runs)
        {
            ++counter;
            if (findings_.examples.size() < exampleLimit)
                findings_.examples.push_back(describe(what, key.key, &key, runs));
        }

    private:
        RequestFindings& findings_;
    };

}

// The JSON library throws if a field is missing or has the wrong type.
Result<void> RequestChecker::readCallers(const Json& records)
{
    try {
        for (const Json& row : records.at("requests")) {
            BOOST_OUTCOME_TRY(key, keyOf(row));
            addKey(std::move(key));
        }
    } catch (const Json::exception& exception) {
        return malformed("the callers' records", exception.what());
    }
    return boost::outcome_v2::success();
}

Result<void> RequestChecker::readBackendServers(const Json& servers)
{
    try {
        for (const auto& [server, record] : servers.items()) {
            for (const auto& [key, row] : record.at("keys").items()) {
                KeyRuns runs { row.at("runs").get<std::uint64_t>(), never };
                for (const Json& run : row.at("records"))
                    runs.firstStartMilliseconds
                        = std::min(runs.firstStartMilliseconds, run.at("started_milliseconds").get<std::int64_t>());
                addRun(key, runs);
            }
        }
    } catch (const Json::exception& exception) {
        return malformed("the backend servers' records", exception.what());
    }
    return boost::outcome_v2::success();
}

void RequestChecker::addKey(KeyAttempts key) { keys_.push_back(std::move(key)); }

void RequestChecker::addRun(const std::string& key, const KeyRuns& runs)
{
    KeyRuns& all = runs_[key];
    all.runs += runs.runs;
    all.firstStartMilliseconds = std::min(all.firstStartMilliseconds, runs.firstStartMilliseconds);
}

RequestFindings RequestChecker::check(std::int64_t firstFailureMilliseconds) const
{
    RequestFindings findings;
    FindingsRecorder recorder(findings);
    findings.keysRun = runs_.size();
    findings.keysRecorded = keys_.size();
    // Includes keys that no caller recorded.
    for (const auto& [key, runs] : runs_)
        findings.doubleRuns += runs.runs > 1;
    for (const KeyAttempts& key : keys_) {
        const auto found = runs_.find(key.key);
        const KeyRuns runs = found == runs_.end() ? KeyRuns() : found->second;
        std::uint64_t shown = 0;
        if (runs.runs > 1)
            recorder.count(shown, "double run", key, runs);
        if (isFalselyRefused(key, runs))
            recorder.count(findings.falseRefusals, "false refusal", key, runs);
        for (const AttemptRecord& record : key.attempts) {
            if (record.outcome == AttemptOutcome::WrongAnswer)
                recorder.count(record.isIncomplete ? findings.incompleteAnswers : findings.mixedAnswers,
                    record.isIncomplete ? "incomplete answer" : "mixed answer", key, runs);
        }
        if (key.attempts.back().endedMilliseconds < firstFailureMilliseconds && isCut(key))
            recorder.count(findings.cutInFlight, "cut in flight", key, runs);
        const bool unknown = isUnknown(lastConclusiveAttempt(key));
        findings.unknownOutcomes += unknown;
        if (unknown)
            ++findings.unknownByStatus[lastConclusiveAttempt(key).status];
        findings.unknownThatRan += unknown && runs.runs > 0;
        if (key.attempts.back().outcome == AttemptOutcome::Answered && runs.runs == 0)
            recorder.count(findings.answeredWithoutRun, "answered without a run", key, runs);
    }
    return findings;
}

}
