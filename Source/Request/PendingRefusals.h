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

// Holds refusals checkDeadline the backup answered one check about the epoch.
//
// What goes wrong without it: an owner is replaced while it is paused; the new owner runs a key; the old one wakes and,
// finding no record, tells a caller that the key was not run. All refusals that wait for one backup share a check,
// so an overload costs one message a round trip and not one a refusal.
class PendingRefusals {
public:
    explicit PendingRefusals(Duration timeout);

    void add(const BalancerInstance& backup, const PendingRefusal&);
    // Questions to send now: at most one open for each backup.
    std::vector<OutgoingMessage> takeEpochChecks(std::uint64_t epoch, TimePoint now);

    // Refusals that an answer settles; empty when the answer is to no open check.
    std::vector<PendingRefusal> takeChecked(const BalancerInstance& from, const EpochChecked&);
    // Refusals whose backup was silent for too long.
    std::vector<PendingRefusal> takeExpired(TimePoint now);
    // All of them, because the epoch changed.
    std::vector<PendingRefusal> takeAll();

    std::size_t size() const;

private:
    struct BackupQueue {
        // Asked about by the open check.
        std::vector<PendingRefusal> inCheck;
        std::uint64_t nonce = 0;
        TimePoint checkDeadline;
        // Came since.
        std::vector<PendingRefusal> waiting;
    };

    Duration timeout_;
    std::map<BalancerInstance, BackupQueue> queues_;
    std::uint64_t lastNonce_ = 0;
};

}
