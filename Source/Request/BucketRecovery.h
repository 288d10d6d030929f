#pragma once

#include "Core/Clock.h"
#include "Request/ClaimMessages.h"
#include "Request/TerminatedInstances.h"

#include <map>
#include <optional>
#include <vector>

namespace wisteriadock {

// How far a new owner has come in finding the claims of a bucket.
enum class RecoveryState {
    Waiting, // Somebody who may hold them can still answer.
    Whole, // A copy that holds every claim that was ever sent.
    Lost, // Nobody who may hold the newest claims answered; older copies may have been found.
};

// Finds the claims of one bucket among those who held it under earlier epochs.
//
// What can go wrong: the newest epoch may have been active under holders that are all dead, paused or cut off. Taking
// an older copy for whole would run work again that these had run. So the search goes from the newest epoch backwards,
// and passes an epoch by only when one of its two holders says that it never held a whole copy under it: an epoch
// becomes active only after both do, and who has answered will not act under an older epoch any more.
class BucketRecovery {
public:
    BucketRecovery() = default;
    // Copies that were installed under the ceiling epoch or later descend from what this search found; they prove
    // nothing about earlier epochs.
    BucketRecovery(std::vector<ClaimPair> pairs, bool isHistoryWhole, std::uint64_t ceilingEpoch, TimePoint start);

    // Takes the answer of an earlier holder.
    void add(const BalancerInstance& from, const BucketSnapshot&);

    // Decides by what has been heard. Gone are holders that certainly run no more.
    RecoveryState decide(const TerminatedInstances& terminated, TimePoint now);

    // The copy to start from, and who sent it, once whole or lost; null when there is none.
    const BucketSnapshot* source() const { return source_ ? &source_->second : nullptr; }
    const BalancerInstance* sourceHolder() const { return source_ ? &source_->first : nullptr; }
    // Pairs that may have held newer claims than the source; empty when whole.
    const std::vector<ClaimPair>& lostPairs() const { return lostPairs_; }
    // Whether nobody can act under an earlier epoch any more: each lost pair has a member that is certainly gone or has
    // answered. Claims take both members.
    bool allStopped() const { return allStopped_; }
    bool isHistoryWhole() const { return isHistoryWhole_; }

    // Whom to ask (again).
    std::vector<BalancerInstance> unanswered(const TerminatedInstances& terminated) const;

    // How long holders that are not known to be gone are waited for.
    static constexpr std::chrono::milliseconds answerTimeout { 1500 };
    // How long the earlier owner is preferred to the earlier backup, whose copy may name claims that were withdrawn.
    static constexpr std::chrono::milliseconds ownerPreference { 100 };

private:
    using Answers = std::map<BalancerInstance, BucketSnapshot>;

    bool hasAnswered(const BalancerInstance& holder) const { return answers_.contains(holder); }
    const Answers::value_type* wholeCopyOf(const ClaimPair&) const;
    bool wasNeverActive(const ClaimPair&) const;
    bool mayStillAnswer(const ClaimPair&, const TerminatedInstances& terminated) const;
    bool isStopped(const ClaimPair&, const TerminatedInstances& terminated) const;

    std::vector<ClaimPair> pairs_;
    bool isHistoryWhole_ = true;
    std::uint64_t ceilingEpoch_ = 0;
    TimePoint start_;
    Answers answers_;
    const Answers::value_type* source_ = nullptr;
    std::vector<ClaimPair> lostPairs_;
    bool allStopped_ = false;
};

}
