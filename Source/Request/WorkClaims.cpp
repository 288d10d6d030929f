#include "Request/WorkClaims.h"

#include <utility>

namespace wisteriadock {

WorkClaims::WorkClaims(const BalancerInstance& self, BucketManager& buckets, WorkTable& works)
    : self_(self)
    , buckets_(buckets)
    , works_(works)
{
}

ClaimRecord WorkClaims::recordOf(const Work& work, ClaimState state, TimePoint now) const
{
    return { work.fingerprint, work.key->issuedEpoch, work.sequence, self_, now, state, nullptr };
}

ClaimResult WorkClaims::begin(Work& work, TimePoint now)
{
    const std::uint32_t bucket = claimBucketOf(work.key->digest);
    if (buckets_.ownership(bucket) != Ownership::Active)
        return ClaimResult::NotOwner;
    works_.setClaim(work, ++lastSequence_);
    if (!buckets_.table().put(bucket, work.key->digest, recordOf(work, ClaimState::Claimed, now)))
        return ClaimResult::TableFull;
    const std::optional<BalancerInstance>& backup = buckets_.pairOf(bucket)->backup;
    if (!backup)
        return ClaimResult::Held;
    const ClaimKey message { buckets_.newestEpoch(), bucket, work.sequence, work.key->digest, work.fingerprint,
        work.key->issuedEpoch };
    messages_.push_back({ *backup, message });
    return ClaimResult::Pending;
}

void WorkClaims::recordSent(const Work& work, TimePoint now)
{
    if (work.key)
        buckets_.table().put(claimBucketOf(work.key->digest), work.key->digest, recordOf(work, ClaimState::Sent, now));
}

void WorkClaims::recordOutcome(const Work& work, bool isAnswered, const SharedResponse& answer, TimePoint now)
{
    if (!work.key)
        return;
    const std::uint32_t bucket = claimBucketOf(work.key->digest);
    ClaimRecord record = recordOf(work, isAnswered ? ClaimState::Answered : ClaimState::Unknown, now);
    record.answer = answer;
    buckets_.table().put(bucket, work.key->digest, std::move(record));
    const ClaimRecord* kept = buckets_.table().find(bucket, work.key->digest);
    const SharedResponse keptAnswer = kept ? kept->answer : nullptr;
    notifyHolders(bucket, ClaimOutcome { bucket, work.key->digest, work.sequence, isAnswered, keptAnswer });
}

void WorkClaims::withdraw(const Work& work)
{
    if (!work.key || work.sequence == 0)
        return;
    const std::uint32_t bucket = claimBucketOf(work.key->digest);
    const ClaimRecord* record = buckets_.table().find(bucket, work.key->digest);
    if (record && record->runner == self_ && record->sequence == work.sequence)
        buckets_.table().erase(bucket, work.key->digest);
    notifyHolders(bucket, WithdrawClaim { bucket, work.key->digest, work.sequence });
}

void WorkClaims::notifyHolders(std::uint32_t bucket, const RequestMessage& message)
{
    const std::optional<ClaimPair>& pair = buckets_.pairOf(bucket);
    if (!pair)
        return;
    if (pair->owner != self_)
        messages_.push_back({ pair->owner, message });
    if (pair->backup && *pair->backup != self_)
        messages_.push_back({ *pair->backup, message });
}

std::vector<OutgoingMessage> WorkClaims::takeMessages() { return std::exchange(messages_, {}); }

}
