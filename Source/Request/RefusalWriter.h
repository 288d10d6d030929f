#pragma once

#include "Core/Clock.h"
#include "Request/BucketManager.h"
#include "Request/PendingRefusals.h"
#include "Request/RequestActions.h"
#include "Request/WorkTable.h"

#include <cstdint>
#include <random>
#include <vector>

namespace wisteriadock {

// Writes the refusals of one RequestRunner. Reads the runner's claims and work to make sure that "not run" is true of
// the key.
class RefusalWriter {
public:
    RefusalWriter(BucketManager&, WorkTable&, Duration backupTimeout, std::uint64_t seed);

    void refuse(AttemptId, RefusalReason, Executed, std::chrono::milliseconds retryDelay = {});
    void refuseAll(const std::vector<WorkWaiter>&, RefusalReason, Executed, std::chrono::milliseconds retryDelay = {});

    // Refuses as not run after the bucket's backup confirmed that this balancer still owns the key.
    void refuseWhenConfirmed(const PendingRefusal&, TimePoint now);
    // Refuses without asking the backup: as not run, or as in progress when another attempt uses the key. For keys
    // whose claim the backup acknowledged: no other balancer can have run them.
    void refuseAtOnce(const PendingRefusal&, TimePoint now);

    void handleEpochChecked(const BalancerInstance& from, const EpochChecked&, TimePoint now);
    // The epoch has changed: pending refusals can't be confirmed any more and are sent as unknown.
    void abandonPending();
    void expirePending(TimePoint now);

    // Refusals and epoch checks to send.
    std::vector<RequestAction> takeActions(TimePoint now);
    std::size_t waiting() const { return pending_.size(); }

private:
    void refuseNotRun(const PendingRefusal&, TimePoint now);

    BucketManager& buckets_;
    WorkTable& works_;
    PendingRefusals pending_;
    std::mt19937_64 random_;
    std::vector<RequestAction> actions_;
};

}
