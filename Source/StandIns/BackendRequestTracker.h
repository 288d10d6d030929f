#pragma once

#include "Core/Clock.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// How a run of a request ended.
enum class RunOutcome {
    Running,
    Completed,
    Cancelled, // The caller reset the stream before the work was done.
    DeadlineExceeded, // The work was stopped at its deadline.
};

std::string_view nameOf(RunOutcome);

// One time that a server began the work of a key.
struct RunRecord {
    TimePoint startedAt;
    TimePoint endedAt;
    RunOutcome outcome = RunOutcome::Running;
};

// All runs of one key.
struct KeyRecord {
    std::uint64_t runs = 0;
    // The first runs, up to a small limit.
    std::vector<RunRecord> records;
};

// How a server behaves towards new requests; the experiment changes it while the server runs.
struct BackendRequestBehaviour {
    std::size_t slots = 2;
    // Refuses all new requests.
    bool draining = false;
    bool shedding = false;
    // The next requests so many times run slower by the factor.
    std::uint64_t coldRequests = 0;
    double coldFactor = 5;
};

struct BackendRequestCounts {
    std::uint64_t runs = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t deadlineExceeded = 0;
    std::uint64_t shed = 0;
    // Runs that are not in the records because of their limit.
    std::uint64_t unrecordedRuns = 0;
};

// Admits the requests of one backend server to its slots and records every run per key. Decides only;
// BackendStandInServer runs the timers and answers.
class BackendRequestTracker {
public:
    using RunId = std::uint64_t;

    // What becomes of a request.
    struct Admission {
        // Refused as not executed; nothing was recorded.
        bool shed = true;
        RunId run = 0;
        // When the work ends, and how.
        TimePoint endsAt;
        RunOutcome outcome = RunOutcome::Completed;
    };

    explicit BackendRequestTracker(std::size_t maxRecordedKeys);

    // A deadline of zero means none.
    Admission admit(std::string_view key, Duration work, Duration deadline, TimePoint now);

    // Ends a run; an id that has ended already is ignored.
    void end(RunId, RunOutcome, TimePoint now);

    BackendRequestBehaviour& behaviour() { return behaviour_; }
    const BackendRequestBehaviour& behaviour() const { return behaviour_; }
    std::size_t running() const { return running_.size(); }
    const BackendRequestCounts& counts() const { return counts_; }
    const absl::flat_hash_map<std::string, KeyRecord>& keys() const { return keys_; }

private:
    struct Run {
        std::string key;
        // Its place in the key's records, or noRecord.
        std::size_t record = 0;
    };

    static constexpr std::size_t noRecord = static_cast<std::size_t>(-1);
    static constexpr std::size_t maxRecordsPerKey = 8;

    std::size_t recordRun(std::string_view key, TimePoint now);

    BackendRequestBehaviour behaviour_;
    BackendRequestCounts counts_;
    std::size_t maxRecordedKeys_;
    RunId nextRun_ = 1;
    absl::flat_hash_map<RunId, Run> running_;
    absl::flat_hash_map<std::string, KeyRecord> keys_;
};

}
