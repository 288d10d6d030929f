#pragma once

#include "Core/Clock.h"
#include "Request/RequestActions.h"
#include "Request/RequestTypes.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace wisteriadock {

// An attempt that waits for the outcome of the work.
struct WorkWaiter {
    AttemptId id = 0;
    TimePoint deadline;
};

// Progress of the work at the balancer that runs it.
enum class WorkStage {
    Queued, // Waits for a slot.
    Claiming, // Has a slot, waits for the backup's acknowledgement.
    Sent,
};

// Work that a balancer runs for one or more attempts.
struct Work {
    WorkId id = 0;
    // Absent for idempotent work.
    std::optional<RequestKey> key;
    std::uint64_t fingerprint = 0;
    ServiceId service;
    TimePoint deadline;
    std::vector<WorkWaiter> waiters;
    WorkStage stage = WorkStage::Queued;
    BackendServerId server;
    // Sequence number of the claim; 0 before there is one.
    std::uint64_t sequence = 0;
    // The backup holds the claim. From then on no other balancer runs the key, even if the ownership changes.
    bool isClaimHeld = false;
    TimePoint claimDeadline;
    std::uint32_t sendCount = 0;
    // A backend server may have processed the work; then no refusal says "not run".
    bool mayHaveRun = false;
};

// Creates work for one attempt, to be added to a table.
Work makeWork(const KeyedAttempt&);
Work makeWork(const UnkeyedAttempt&);

// The work of one balancer, indexed by id, key, attempt and claim.
class WorkTable {
public:
    Work& add(Work);
    void erase(WorkId);

    Work* find(WorkId);
    Work* findByKey(const KeyDigest&);
    const Work* findByKey(const KeyDigest&) const;
    Work* findByAttempt(AttemptId);
    Work* findByClaim(std::uint64_t sequence);

    void addWaiter(Work&, const WorkWaiter&);
    void removeWaiter(Work&, AttemptId);
    void setClaim(Work&, std::uint64_t sequence);

    std::size_t size() const { return works_.size(); }
    // Ids of all work, oldest first.
    std::vector<WorkId> ids() const;

private:
    std::map<WorkId, Work> works_;
    absl::flat_hash_map<KeyDigest, WorkId> byKey_;
    absl::flat_hash_map<AttemptId, WorkId> byAttempt_;
    absl::flat_hash_map<std::uint64_t, WorkId> byClaim_;
    WorkId last_ = 0;
};

}
