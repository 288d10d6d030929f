#pragma once

#include "Core/Clock.h"
#include "Request/BucketManager.h"
#include "Request/ClaimMessages.h"
#include "Request/WorkTable.h"

#include <cstdint>
#include <vector>

namespace wisteriadock {

// The result of begin().
enum class ClaimResult {
    Held, // The zone has one holder: the claim is held.
    Pending, // The claim was sent to the backup.
    NotOwner,
    TableFull,
};

// Writes the claims of one RequestRunner's own work into its claim table and sends them to the other holders. Does
// nothing for idempotent work, which has no key.
class WorkClaims {
public:
    WorkClaims(const BalancerInstance& self, BucketManager&, WorkTable&);

    ClaimResult begin(Work&, TimePoint now);
    void recordSent(const Work&, TimePoint now);
    void recordOutcome(const Work&, bool isAnswered, const SharedResponse&, TimePoint now);
    // The claim will not be used (any more).
    void withdraw(const Work&);

    std::vector<OutgoingMessage> takeMessages();

private:
    ClaimRecord recordOf(const Work&, ClaimState, TimePoint now) const;
    void notifyHolders(std::uint32_t bucket, const RequestMessage&);

    BalancerInstance self_;
    BucketManager& buckets_;
    WorkTable& works_;
    std::uint64_t lastSequence_ = 0;
    std::vector<OutgoingMessage> messages_;
};

}
