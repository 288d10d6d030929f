#include "Request/KeyDecision.h"

namespace wisteriadock {

namespace {

    constexpr std::chrono::milliseconds inProgressRetryDelay { 1000 };

    KeyDecision refuseUnknown(RefusalReason reason, std::chrono::milliseconds retryDelay = {})
    {
        return { KeyStep::RefuseUnknown, reason, retryDelay, nullptr };
    }

    KeyDecision refuseNotRun(RefusalReason reason, std::chrono::milliseconds retryDelay = {})
    {
        return { KeyStep::RefuseNotRun, reason, retryDelay, nullptr };
    }

    KeyDecision decideJoin(const KeyedAttempt& attempt, const Work& work)
    {
        if (attempt.fingerprint != work.fingerprint)
            return refuseUnknown(RefusalReason::KeyReused);
        if (attempt.problem)
            return refuseUnknown(*attempt.problem);
        return { KeyStep::Join, {}, {}, nullptr };
    }

    KeyDecision decideFresh(const KeyedAttempt& attempt, const BucketManager& buckets)
    {
        switch (buckets.freshnessOf(claimBucketOf(attempt.key.digest), attempt.key)) {
        case KeyFreshness::TooOld:
            return refuseUnknown(RefusalReason::KeyTooOld);
        case KeyFreshness::Lost:
            return refuseUnknown(RefusalReason::ClaimsLost, inProgressRetryDelay);
        case KeyFreshness::Fresh:
            break;
        }
        if (attempt.problem)
            return refuseNotRun(*attempt.problem);
        return { KeyStep::Start, {}, {}, nullptr };
    }

    KeyDecision decideKnown(const KeyedAttempt& attempt, const ClaimRecord& record)
    {
        if (attempt.fingerprint != record.fingerprint)
            return refuseUnknown(RefusalReason::KeyReused);
        if (record.state == ClaimState::Unknown)
            return refuseUnknown(RefusalReason::OutcomeUnknown);
        // Claimed or sent by another balancer, or by an earlier owner of the bucket.
        if (record.state != ClaimState::Answered)
            return refuseUnknown(RefusalReason::InProgress, inProgressRetryDelay);
        if (!record.answer)
            return refuseUnknown(RefusalReason::AnswerNotKept);
        return { KeyStep::Answer, {}, {}, record.answer };
    }

}

KeyDecision decideKey(const KeyedAttempt& attempt, const BucketManager& buckets, const WorkTable& works, TimePoint now)
{
    const bool isBehind = !buckets.knowsNewestTerm() || attempt.key.issuedEpoch > buckets.newestEpoch();
    if (isBehind)
        return { KeyStep::Park, {}, {}, nullptr };
    const std::uint32_t bucket = claimBucketOf(attempt.key.digest);
    const Ownership ownership = buckets.ownership(bucket);
    if (ownership == Ownership::NotOwner)
        return { KeyStep::Redirect, {}, {}, nullptr };
    if (ownership != Ownership::Active)
        return { KeyStep::Park, {}, {}, nullptr };
    if (const Work* work = works.findByKey(attempt.key.digest))
        return decideJoin(attempt, *work);
    const ClaimRecord* record = buckets.table().find(bucket, attempt.key.digest);
    if (!record)
        return decideFresh(attempt, buckets);
    if (record->state != ClaimState::Refused)
        return decideKnown(attempt, *record);
    if (now >= record->since)
        return decideFresh(attempt, buckets);
    // An attempt that was in transit when its key was refused as not run must not run before the retry time.
    return refuseNotRun(
        RefusalReason::ComeBackLater, std::chrono::ceil<std::chrono::milliseconds>(record->since - now));
}

}
