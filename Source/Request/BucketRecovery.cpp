#include "Request/BucketRecovery.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    std::vector<BalancerInstance> membersOf(const ClaimPair& pair)
    {
        std::vector<BalancerInstance> members = { pair.owner };
        if (pair.backup)
            members.push_back(*pair.backup);
        return members;
    }

}

BucketRecovery::BucketRecovery(
    std::vector<ClaimPair> pairs, bool isHistoryComplete, std::uint64_t ceilingEpoch, TimePoint start)
    : pairs_(std::move(pairs))
    , isHistoryComplete_(isHistoryComplete)
    , ceilingEpoch_(ceilingEpoch)
    , start_(start)
{
}

void BucketRecovery::add(const BalancerInstance& from, const BucketSnapshot& snapshot)
{
    // Only the first answer is valid: it dates from when the holder stopped acting under older epochs.
    answers_.try_emplace(from, snapshot);
}

const BucketRecovery::Answers::value_type* BucketRecovery::completeCopyOf(const ClaimPair& pair) const
{
    for (const BalancerInstance& member : membersOf(pair)) {
        const auto answer = answers_.find(member);
        if (answer == answers_.end())
            continue;
        const std::uint64_t epoch = answer->second.installedEpoch;
        if (epoch >= pair.epoch && epoch < ceilingEpoch_)
            return &*answer;
    }
    return nullptr;
}

bool BucketRecovery::wasNeverActive(const ClaimPair& pair) const
{
    const std::vector<BalancerInstance> members = membersOf(pair);
    return std::any_of(members.begin(), members.end(), [&](const BalancerInstance& member) {
        const auto answer = answers_.find(member);
        return answer != answers_.end() && answer->second.installedEpoch < pair.epoch;
    });
}

bool BucketRecovery::mayStillAnswer(const ClaimPair& pair, const TerminatedInstances& terminated) const
{
    const std::vector<BalancerInstance> members = membersOf(pair);
    return std::any_of(members.begin(), members.end(),
        [&](const BalancerInstance& member) { return !hasAnswered(member) && !terminated.contains(member); });
}

bool BucketRecovery::isStopped(const ClaimPair& pair, const TerminatedInstances& terminated) const
{
    const std::vector<BalancerInstance> members = membersOf(pair);
    return std::any_of(members.begin(), members.end(),
        [&](const BalancerInstance& member) { return hasAnswered(member) || terminated.contains(member); });
}

RecoveryState BucketRecovery::decide(const TerminatedInstances& terminated, TimePoint now)
{
    source_ = nullptr;
    lostPairs_.clear();
    allStopped_ = true;
    for (const ClaimPair& pair : pairs_) {
        if (const auto* copy = completeCopyOf(pair)) {
            const bool ownerMayAnswer = !hasAnswered(pair.owner) && !terminated.contains(pair.owner);
            if (ownerMayAnswer && now - start_ < ownerPreference)
                return RecoveryState::Waiting;
            source_ = copy;
            return lostPairs_.empty() ? RecoveryState::Complete : RecoveryState::Lost;
        }
        if (wasNeverActive(pair))
            continue;
        if (mayStillAnswer(pair, terminated) && now - start_ < answerTimeout)
            return RecoveryState::Waiting;
        lostPairs_.push_back(pair);
        allStopped_ = allStopped_ && isStopped(pair, terminated);
    }
    allStopped_ = allStopped_ && isHistoryComplete_;
    return lostPairs_.empty() && isHistoryComplete_ ? RecoveryState::Complete : RecoveryState::Lost;
}

std::vector<BalancerInstance> BucketRecovery::unanswered(const TerminatedInstances& terminated) const
{
    std::vector<BalancerInstance> holders;
    for (const ClaimPair& pair : pairs_) {
        for (const BalancerInstance& member : membersOf(pair)) {
            const bool isListed = std::find(holders.begin(), holders.end(), member) != holders.end();
            if (!isListed && !hasAnswered(member) && !terminated.contains(member))
                holders.push_back(member);
        }
    }
    return holders;
}

}
