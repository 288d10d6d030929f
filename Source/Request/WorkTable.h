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

// One try that waits for the end of some work.
struct WorkWaiter {
    AttemptId id = 0;
    TimePoint deadline;
};

// How far work has come at the balancer that does it.
enum class WorkStage {
    Queued, // Waits for a slot.
    Claiming, // Has a slot, waits for the backup's acknowledgement.
    Sent,
};

// Work that a balancer does for one or more tries.
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
    // Number of the claim; 0 before there is one.
    std::uint64_t sequence = 0;
    // The backup holds the claim. From then on nobody else runs the key, whatever becomes of the ownership.
    bool isClaimHeld = false;
    TimePoint claimDeadline;
    std::uint32_t sendCount = 0;
    // An attempt may have been acted on; then no refusal says "not run".
    bool mayHaveRun = false;
};

// Work for one try, to be added to a table.
Work makeWork(const KeyedAttempt&);
Work makeWork(const UnkeyedAttempt&);

// The work of one balancer, found by number, key, try and claim.
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
    // Numbers of all work, oldest first.
    std::vector<WorkId> ids() const;

private:
    std::map<WorkId, Work> works_;
    absl::flat_hash_map<KeyDigest, WorkId> byKey_;
    absl::flat_hash_map<AttemptId, WorkId> byAttempt_;
    absl::flat_hash_map<std::uint64_t, WorkId> byClaim_;
    WorkId last_ = 0;
};

}
