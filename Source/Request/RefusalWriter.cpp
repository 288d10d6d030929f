#include "Request/RefusalWriter.h"

#include "Request/RetryAfter.h"

#include <utility>

namespace wisteriadock {

namespace {

    // Whether repeating the same request later can't succeed.
    bool isFinal(RefusalReason reason)
    {
        switch (reason) {
        case RefusalReason::MissingKey:
        case RefusalReason::MalformedKey:
        case RefusalReason::AbsurdDeadline:
        case RefusalReason::OversizedHeaders:
        case RefusalReason::OversizedBody:
        case RefusalReason::KeyReused:
        case RefusalReason::KeyTooOld:
        case RefusalReason::AnswerNotKept:
            return true;
        default:
            return false;
        }
    }

}

RefusalWriter::RefusalWriter(BucketManager& buckets, WorkTable& works, Duration backupTimeout, std::uint64_t seed)
    : buckets_(buckets)
    , works_(works)
    , pending_(backupTimeout)
    , random_(seed)
{
}

void RefusalWriter::refuse(AttemptId id, RefusalReason reason, Executed executed, std::chrono::milliseconds retryDelay)
{
    const auto retryAfter = isFinal(reason) ? std::chrono::seconds(0) : drawRetryAfter(retryDelay, random_);
    actions_.emplace_back(RefuseAttempt { id, { reason, executed, retryAfter } });
}

void RefusalWriter::refuseAll(const std::vector<WorkWaiter>& waiters, RefusalReason reason, Executed executed,
    std::chrono::milliseconds retryDelay)
{
    for (const WorkWaiter& waiter : waiters)
        refuse(waiter.id, reason, executed, retryDelay);
}

void RefusalWriter::refuseWhenConfirmed(const PendingRefusal& refusal, TimePoint now)
{
    const std::uint32_t bucket = claimBucketOf(refusal.key.digest);
    if (buckets_.ownership(bucket) != Ownership::Active)
        return refuse(refusal.id, refusal.reason, Executed::Unknown, refusal.retryDelay);
    const std::optional<BalancerInstance>& backup = buckets_.pairOf(bucket)->backup;
    if (backup)
        pending_.add(*backup, refusal);
    else
        refuseAtOnce(refusal, now);
}

void RefusalWriter::refuseAtOnce(const PendingRefusal& refusal, TimePoint now)
{
    // Another attempt of the key may have started during the epoch check.
    const ClaimRecord* record = buckets_.table().find(claimBucketOf(refusal.key.digest), refusal.key.digest);
    const bool mayRun = works_.findByKey(refusal.key.digest) || (record && record->state != ClaimState::Refused);
    if (mayRun)
        return refuse(refusal.id, RefusalReason::InProgress, Executed::Unknown, refusal.retryDelay);
    refuseNotRun(refusal, now);
}

void RefusalWriter::refuseNotRun(const PendingRefusal& refusal, TimePoint now)
{
    const bool isFinalReason = isFinal(refusal.reason);
    const auto retryAfter = isFinalReason ? std::chrono::seconds(0) : drawRetryAfter(refusal.retryDelay, random_);
    actions_.emplace_back(RefuseAttempt { refusal.id, { refusal.reason, Executed::No, retryAfter } });

    // Records the refusal, so that no other attempt runs the key before the retry time. A repeated refusal doesn't
    // extend that time. Refusals use at most half of the table.
    const std::uint32_t bucket = claimBucketOf(refusal.key.digest);
    ClaimTable& table = buckets_.table();
    const bool hasRoom = table.size() < table.limits().claims / 2;
    if (isFinalReason || refusal.reason == RefusalReason::ComeBackLater || !hasRoom)
        return;
    table.put(bucket, refusal.key.digest,
        { 0, refusal.key.issuedEpoch, 0, BalancerInstance {}, now + retryAfter, ClaimState::Refused, nullptr });
}

void RefusalWriter::handleEpochChecked(const BalancerInstance& from, const EpochChecked& answer, TimePoint now)
{
    for (const PendingRefusal& refusal : pending_.takeChecked(from, answer)) {
        if (answer.accepted)
            refuseAtOnce(refusal, now);
        else
            refuse(refusal.id, refusal.reason, Executed::Unknown, refusal.retryDelay);
    }
}

void RefusalWriter::abandonPending()
{
    for (const PendingRefusal& refusal : pending_.takeAll())
        refuse(refusal.id, refusal.reason, Executed::Unknown, refusal.retryDelay);
}

void RefusalWriter::expirePending(TimePoint now)
{
    for (const PendingRefusal& refusal : pending_.takeExpired(now))
        refuse(refusal.id, RefusalReason::BackupUnreachable, Executed::Unknown, refusal.retryDelay);
}

std::vector<RequestAction> RefusalWriter::takeActions(TimePoint now)
{
    for (OutgoingMessage& check : pending_.takeEpochChecks(buckets_.newestEpoch(), now))
        actions_.emplace_back(std::move(check));
    return std::exchange(actions_, {});
}

}
