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

// The state of a run, which is one execution of a request, or how it ended.
enum class RunOutcome {
    Running,
    Completed,
    Cancelled, // The caller reset the stream before the end of the work.
    DeadlineExceeded, // The work was stopped at the deadline.
};

std::string_view nameOf(RunOutcome);

// One run of an idempotency key on a server.
struct RunRecord {
    TimePoint startedAt;
    TimePoint endedAt;
    RunOutcome outcome = RunOutcome::Running;
};

// All runs of one idempotency key.
struct KeyRecord {
    std::uint64_t runs = 0;
    // The first runs, up to maxRecordsPerKey.
    std::vector<RunRecord> records;
};

// How a server handles new requests. An experiment can change it while the server runs.
struct BackendRequestBehaviour {
    // The maximum number of concurrent runs.
    std::size_t slots = 2;
    // Refuses all new requests; /health reports draining.
    bool draining = false;
    // Refuses all new requests.
    bool shedding = false;
    // The next coldRequests runs take coldFactor times as long.
    std::uint64_t coldRequests = 0;
    double coldFactor = 5;
};

struct BackendRequestCounts {
    std::uint64_t runs = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t deadlineExceeded = 0;
    std::uint64_t shed = 0;
    // Runs of keys that are not recorded because of the limit on recorded keys.
    std::uint64_t unrecordedRuns = 0;
};

// Admits the requests of one backend server to its slots and records the runs of each idempotency key. Does no I/O;
// BackendStandInServer runs the timers and sends the answers.
class BackendRequestTracker {
public:
    using RunId = std::uint64_t;

    // The decision on a new request.
    struct Admission {
        // The request is refused and not recorded.
        bool shed = true;
        RunId run = 0;
        // When and how the work ends.
        TimePoint endsAt;
        RunOutcome outcome = RunOutcome::Completed;
    };

    explicit BackendRequestTracker(std::size_t maxRecordedKeys);

    // Decides on a request. A deadline of zero means that there is none.
    Admission admit(std::string_view key, Duration work, Duration deadline, TimePoint now);

    // Ends a run. The id of a run that has already ended is ignored.
    void end(RunId, RunOutcome, TimePoint now);

    BackendRequestBehaviour& behaviour() { return behaviour_; }
    const BackendRequestBehaviour& behaviour() const { return behaviour_; }
    std::size_t running() const { return running_.size(); }
    const BackendRequestCounts& counts() const { return counts_; }
    const absl::flat_hash_map<std::string, KeyRecord>& keys() const { return keys_; }

private:
    struct Run {
        std::string key;
        // Its index in the key's records, or noRecord.
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
