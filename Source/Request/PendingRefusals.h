#pragma once

#include "Core/Clock.h"
#include "Request/ClaimMessages.h"
#include "Request/RequestTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace wisteriadock {

// A refusal that may say "not run" once the backup has confirmed that its sender still owns the key.
struct PendingRefusal {
    AttemptId id = 0;
    RequestKey key;
    RefusalReason reason = RefusalReason::Overloaded;
    std::chrono::milliseconds retryDelay { 0 };
};

// Holds refusals until the backup has answered an epoch check.
//
// Guards against a false "not run": an owner is replaced while it is paused, the new owner runs a key, and the old
// owner resumes, finds no record and refuses the key as not run. All refusals that wait for one backup share a check,
// so an overload costs one message per round trip instead of one per refusal.
class PendingRefusals {
public:
    explicit PendingRefusals(Duration timeout);

    void add(const BalancerInstance& backup, const PendingRefusal&);
    // Epoch checks to send now; at most one in flight for each backup.
    std::vector<OutgoingMessage> takeEpochChecks(std::uint64_t epoch, TimePoint now);

    // Refusals that the reply decides; empty when the reply matches no check in flight.
    std::vector<PendingRefusal> takeChecked(const BalancerInstance& from, const EpochChecked&);
    // Refusals whose backup did not reply in time.
    std::vector<PendingRefusal> takeExpired(TimePoint now);
    // All refusals, because the epoch changed.
    std::vector<PendingRefusal> takeAll();

    std::size_t size() const;

private:
    struct BackupQueue {
        // Covered by the check in flight.
        std::vector<PendingRefusal> inCheck;
        std::uint64_t nonce = 0;
        TimePoint checkDeadline;
        // Added since that check was sent.
        std::vector<PendingRefusal> waiting;
    };

    Duration timeout_;
    std::map<BalancerInstance, BackupQueue> queues_;
    std::uint64_t lastNonce_ = 0;
};

}
