#pragma once

#include "Core/Clock.h"
#include "Request/ClaimMessages.h"
#include "Request/TerminatedInstances.h"

#include <map>
#include <optional>
#include <vector>

namespace wisteriadock {

// Progress of a new owner in recovering the claims of a bucket.
enum class RecoveryState {
    Waiting, // A holder that may have the claims can still answer.
    Complete, // Found a copy with every claim that was ever sent.
    Lost, // No holder that may have the newest claims answered; older copies may have been found.
};

// Recovers the claims of one bucket from the holders of earlier epochs.
//
// The holders of the newest epoch may all be terminated, paused or partitioned. Taking an older copy as complete would
// then run work twice. The search therefore goes from the newest epoch backwards and skips an epoch only when one of
// its two holders reports that it never had a complete copy under it: an epoch becomes active only after both holders
// have one, and a holder that has answered no longer acts under an older epoch.
class BucketRecovery {
public:
    BucketRecovery() = default;
    // Copies that were installed under the ceiling epoch or later derive from the result of this search, so they prove
    // nothing about earlier epochs.
    BucketRecovery(std::vector<ClaimPair> pairs, bool isHistoryComplete, std::uint64_t ceilingEpoch, TimePoint start);

    // Adds the answer of an earlier holder.
    void add(const BalancerInstance& from, const BucketSnapshot&);

    // Evaluates the answers so far. Terminated instances are not waited for.
    RecoveryState decide(const TerminatedInstances& terminated, TimePoint now);

    // The copy to start from and its sender, once decided; null when there is none.
    const BucketSnapshot* source() const { return source_ ? &source_->second : nullptr; }
    const BalancerInstance* sourceHolder() const { return source_ ? &source_->first : nullptr; }
    // Pairs that may have held newer claims than the source; empty when the copy is complete.
    const std::vector<ClaimPair>& lostPairs() const { return lostPairs_; }
    // Whether nobody can act under an earlier epoch any more: each lost pair has a member that has terminated or
    // answered. A claim needs both members.
    bool allStopped() const { return allStopped_; }
    bool isHistoryComplete() const { return isHistoryComplete_; }

    // Holders to ask, also repeatedly.
    std::vector<BalancerInstance> unanswered(const TerminatedInstances& terminated) const;

    // How long holders that may still be running are waited for.
    static constexpr std::chrono::milliseconds answerTimeout { 1500 };
    // How long the earlier owner is preferred to the earlier backup, whose copy may contain withdrawn claims.
    static constexpr std::chrono::milliseconds ownerPreference { 100 };

private:
    using Answers = std::map<BalancerInstance, BucketSnapshot>;

    bool hasAnswered(const BalancerInstance& holder) const { return answers_.contains(holder); }
    const Answers::value_type* completeCopyOf(const ClaimPair&) const;
    bool wasNeverActive(const ClaimPair&) const;
    bool mayStillAnswer(const ClaimPair&, const TerminatedInstances& terminated) const;
    bool isStopped(const ClaimPair&, const TerminatedInstances& terminated) const;

    std::vector<ClaimPair> pairs_;
    bool isHistoryComplete_ = true;
    std::uint64_t ceilingEpoch_ = 0;
    TimePoint start_;
    Answers answers_;
    const Answers::value_type* source_ = nullptr;
    std::vector<ClaimPair> lostPairs_;
    bool allStopped_ = false;
};

}
