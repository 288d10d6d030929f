#pragma once

#include "Core/Clock.h"
#include "Request/BucketRecovery.h"
#include "Request/ClaimMessages.h"
#include "Request/ClaimTable.h"
#include "Request/ClaimTerm.h"

#include <optional>
#include <vector>

namespace wisteriadock {

// The role of a balancer for a bucket under the newest epoch that it knows.
enum class Ownership {
    NotOwner,
    Recovering, // Collecting the claims of earlier epochs.
    Installing, // Waiting until the backup holds them too.
    Active, // May claim keys and tell what happened to them.
};

// What an owner knows about a key that has no record.
enum class KeyFreshness {
    Fresh, // It was never sent.
    TooOld, // It may have been removed after its retention time.
    Lost, // It may be among claims that could not be recovered.
};

// Holds the claims of one balancer as owner and backup, and moves them when the epoch changes.
//
// Once a balancer knows that a newer epoch exists, it acts under no epoch until it knows the holders of the newest one.
// It rejects all messages of older epochs, so an owner that was replaced while it was paused is refused by its backup.
// Called by the RequestRunner; queues outgoing messages for takeMessages().
class BucketManager {
public:
    BucketManager(const BalancerInstance& self, const ClaimLimits& limits, Duration maxDeadline);

    void learnTerm(const ClaimTerm&, TimePoint now);
    // Records that an epoch exists; the balancer stops acting until it knows the holders of that epoch.
    void noteEpoch(std::uint64_t epoch);
    // Evidence that instances have terminated (TerminatedInstances.h).
    void learnTerminated(const BalancerInstance& holder) { terminated_.learnTerminated(holder); }
    void learnStart(const BalancerInstance& holder) { terminated_.learnStart(holder); }
    void tick(TimePoint now);

    void handle(const BalancerInstance& from, const RecoverBucket&, TimePoint now);
    void handle(const BalancerInstance& from, const BucketSnapshot&, TimePoint now);
    void handle(const BalancerInstance& from, const InstallBucket&, TimePoint now);
    void handle(const BalancerInstance& from, const BucketInstalled&, TimePoint now);
    void handle(const BalancerInstance& from, const ClaimKey&, TimePoint now);
    void handle(const BalancerInstance& from, const WithdrawClaim&, TimePoint now);
    void handle(const BalancerInstance& from, const ClaimOutcome&, TimePoint now);
    void handle(const BalancerInstance& from, const CheckEpoch&, TimePoint now);

    const std::optional<ClaimTerm>& term() const { return term_; }
    std::uint64_t newestEpoch() const { return newestEpoch_; }
    // Whether the record of the newest known epoch is available.
    bool knowsNewestTerm() const { return term_ && term_->epoch == newestEpoch_; }
    Ownership ownership(std::uint32_t bucket) const;
    const std::optional<ClaimPair>& pairOf(std::uint32_t bucket) const { return buckets_[bucket].pair; }
    KeyFreshness freshnessOf(std::uint32_t bucket, const RequestKey&) const;
    // Whether the newest term names only other holders, and these have had time to fetch the claims held here.
    bool isReleased(TimePoint now) const;
    ClaimTable& table() { return table_; }
    const ClaimTable& table() const { return table_; }

    // Number of buckets owned here whose earlier claims are not all recovered.
    std::size_t lostBuckets() const;

    std::vector<OutgoingMessage> takeMessages();
    // True once after each time that an epoch without a known record was reported.
    bool takeFetchNeeded();
    // True once after the ownership of any bucket changed.
    bool takeOwnershipChanged();

private:
    struct Bucket {
        std::optional<ClaimPair> pair;
        Ownership ownership = Ownership::NotOwner;
        // The newest epoch for which the local copy is complete.
        std::uint64_t installedEpoch = 0;
        std::optional<LostClaims> lost;
        // When the loss expires, because all lost claims are past their retention time.
        std::optional<TimePoint> lostUntil;
        BucketRecovery recovery;
        std::uint64_t baseEpoch = 0;
        bool sendsContents = false;
        TimePoint sendAt;
    };

    void send(const BalancerInstance& to, RequestMessage);
    // Records the epoch of a message; returns whether this balancer acts under it.
    bool isCurrentEpoch(const BalancerInstance& from, std::uint64_t epoch);
    void startOwning(std::uint32_t index, TimePoint now);
    void advance(std::uint32_t index, TimePoint now);
    void recover(std::uint32_t index, TimePoint now);
    void applyRecovery(std::uint32_t index, RecoveryState, TimePoint now);
    void recordLoss(Bucket&, RecoveryState, const std::optional<LostClaims>& inherited, TimePoint now);
    void mergeSource(std::uint32_t index, bool isComplete, TimePoint now);
    void replaceContents(std::uint32_t index, const BucketContents&, TimePoint now);
    void retryRecovery(std::uint32_t index, TimePoint now);
    void requestSnapshots(std::uint32_t index, TimePoint now);
    void install(std::uint32_t index, TimePoint now);
    void setOwnership(Bucket&, Ownership);
    void setLoss(Bucket&, const std::optional<LostClaims>&, TimePoint now);
    BucketContents contentsOf(std::uint32_t index, bool withClaims, TimePoint now) const;

    BalancerInstance self_;
    Duration maxDeadline_;
    ClaimTable table_;
    std::optional<ClaimTerm> term_;
    TimePoint termLearnedAt_;
    std::uint64_t newestEpoch_ = 0;
    std::vector<Bucket> buckets_;
    TerminatedInstances terminated_;
    std::vector<OutgoingMessage> messages_;
    bool isFetchNeeded_ = false;
    bool hasOwnershipChanged_ = false;
};

}
