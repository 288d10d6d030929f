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

// Writes the refusals of one RequestRunner, whose parts it looks at, and makes sure that "not run" is true of the key.
class RefusalWriter {
public:
    RefusalWriter(BucketManager&, WorkTable&, Duration backupTimeout, std::uint64_t seed);

    void refuse(AttemptId, RefusalReason, Executed, std::chrono::milliseconds retryDelay = {});
    void refuseAll(const std::vector<WorkWaiter>&, RefusalReason, Executed, std::chrono::milliseconds retryDelay = {});

    // Refuses as not run after the bucket's backup confirmed that this balancer still owns the key.
    void refuseWhenConfirmed(const PendingRefusal&, TimePoint now);
    // The same at once. For keys whose claim was held in this balancer's name: nobody else can have run them.
    void refuseAtOnce(const PendingRefusal&, TimePoint now);

    void handleEpochChecked(const BalancerInstance& from, const EpochChecked&, TimePoint now);
    // The epoch has changed: what waits can't be confirmed any more.
    void abandonPending();
    void expirePending(TimePoint now);

    // Refusals and checks to backups.
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
