#pragma once

#include "Core/Clock.h"
#include "Request/BucketRecovery.h"
#include "Request/ClaimMessages.h"
#include "Request/ClaimTable.h"
#include "Request/ClaimTerm.h"

#include <optional>
#include <vector>

namespace wisteriadock {

// What a balancer is to a bucket under the newest epoch that it knows.
enum class Ownership {
    NotOwner,
    Recovering, // Looking for the claims of earlier epochs.
    Installing, // Waiting until the backup holds them too.
    Active, // May claim keys and vouch for them.
};

// What an owner can say of a key without a record.
enum class KeyFreshness {
    Fresh, // It was never sent.
    TooOld, // It may have been forgotten.
    Lost, // It may be among claims that nobody could hand over.
};

// Holds the claims of one balancer as owner and backup, and moves them when the epoch changes.
//
// A balancer that has heard of a newer epoch acts under none before it knows that epoch's holders. Of an older epoch
// it accepts nothing, so an owner that was paused while it was replaced finds its backup refusing it.
// Called by the RequestRunner; sends nothing itself but leaves messages to be taken.
class BucketManager {
public:
    BucketManager(const BalancerInstance& self, const ClaimLimits& limits, Duration maxDeadline);

    void learnTerm(const ClaimTerm&, TimePoint now);
    // Notes that an epoch exists; this balancer acts no more until it knows the epoch's holders.
    void noteEpoch(std::uint64_t epoch);
    // Proofs that holders run no more (TerminatedInstances.h).
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
    // Whether the newest epoch heard of is also known.
    bool knowsNewestTerm() const { return term_ && term_->epoch == newestEpoch_; }
    Ownership ownership(std::uint32_t bucket) const;
    const std::optional<ClaimPair>& pairOf(std::uint32_t bucket) const { return buckets_[bucket].pair; }
    KeyFreshness freshnessOf(std::uint32_t bucket, const RequestKey&) const;
    // Whether the newest term names other holders only, and these have had time to fetch what this balancer holds.
    bool isReleased(TimePoint now) const;
    ClaimTable& table() { return table_; }
    const ClaimTable& table() const { return table_; }

    // Buckets of this owner whose earlier claims are in doubt.
    std::size_t lostBuckets() const;

    std::vector<OutgoingMessage> takeMessages();
    // True once after each time it heard of an epoch whose holders it doesn't know.
    bool takeFetchNeeded();
    // True once after ownership of any bucket changed.
    bool takeOwnershipChanged();

private:
    struct Bucket {
        std::optional<ClaimPair> pair;
        Ownership ownership = Ownership::NotOwner;
        // The newest epoch for which the copy held here is whole.
        std::uint64_t installedEpoch = 0;
        std::optional<LostClaims> lost;
        // When lost claims of callers' own keys stop to matter.
        std::optional<TimePoint> lostUntil;
        BucketRecovery recovery;
        std::uint64_t baseEpoch = 0;
        bool sendsContents = false;
        TimePoint sendAt;
    };

    void send(const BalancerInstance& to, RequestMessage);
    // Handles a message's epoch; returns whether it is the epoch under which this balancer acts.
    bool isCurrentEpoch(const BalancerInstance& from, std::uint64_t epoch);
    void startOwning(std::uint32_t index, TimePoint now);
    void advance(std::uint32_t index, TimePoint now);
    void recover(std::uint32_t index, TimePoint now);
    void applyRecovery(std::uint32_t index, RecoveryState, TimePoint now);
    void recordLoss(Bucket&, RecoveryState, const std::optional<LostClaims>& inherited, TimePoint now);
    void mergeSource(std::uint32_t index, bool isWhole, TimePoint now);
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
