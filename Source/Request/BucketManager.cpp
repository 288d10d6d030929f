#include "Request/BucketManager.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    constexpr std::chrono::milliseconds resendInterval { 100 };
    // Lost claims are requested less often: their holders didn't answer during the recovery.
    constexpr std::chrono::milliseconds lostRecoveryInterval { 1000 };
    constexpr std::chrono::milliseconds handoverTime { 1000 };

}

BucketManager::BucketManager(const BalancerInstance& self, const ClaimLimits& limits, Duration maxDeadline)
    : self_(self)
    , maxDeadline_(maxDeadline)
    , table_(limits)
    , buckets_(claimBucketCount)
{
}

void BucketManager::learnTerm(const ClaimTerm& term, TimePoint now)
{
    if (term_ && term.epoch <= term_->epoch)
        return;
    term_ = term;
    termLearnedAt_ = now;
    newestEpoch_ = std::max(newestEpoch_, term.epoch);
    hasOwnershipChanged_ = true;
    for (std::uint32_t index = 0; index < claimBucketCount; ++index) {
        Bucket& bucket = buckets_[index];
        bucket.pair = term.pairOf(index);
        bucket.ownership = Ownership::NotOwner;
        bucket.recovery = BucketRecovery();
        if (bucket.pair && bucket.pair->owner == self_)
            startOwning(index, now);
    }
}

void BucketManager::startOwning(std::uint32_t index, TimePoint now)
{
    Bucket& bucket = buckets_[index];
    bucket.ownership = Ownership::Recovering;
    bucket.recovery = BucketRecovery(term_->pastPairsOf(index), term_->isHistoryComplete, term_->epoch, now);
    // The contents are in the table already; the recovery needs only the installed epoch.
    bucket.recovery.add(self_, { term_->epoch, index, bucket.installedEpoch, {} });
    bucket.sendAt = now;
    advance(index, now);
}

void BucketManager::tick(TimePoint now)
{
    if (!term_)
        return;
    for (std::uint32_t index = 0; index < claimBucketCount; ++index)
        advance(index, now);
    table_.expire(term_->epoch, now);
}

void BucketManager::advance(std::uint32_t index, TimePoint now)
{
    Bucket& bucket = buckets_[index];
    if (bucket.lostUntil && now >= *bucket.lostUntil)
        setLoss(bucket, std::nullopt, now);
    if (!knowsNewestTerm())
        return;
    if (bucket.ownership == Ownership::Recovering)
        recover(index, now);
    if (bucket.ownership == Ownership::Installing)
        install(index, now);
    if (bucket.ownership == Ownership::Active && bucket.lost)
        retryRecovery(index, now);
}

void BucketManager::recover(std::uint32_t index, TimePoint now)
{
    const RecoveryState state = buckets_[index].recovery.decide(terminated_, now);
    if (state == RecoveryState::Waiting)
        return requestSnapshots(index, now);
    applyRecovery(index, state, now);
}

void BucketManager::requestSnapshots(std::uint32_t index, TimePoint now)
{
    Bucket& bucket = buckets_[index];
    if (now < bucket.sendAt)
        return;
    bucket.sendAt = now + (bucket.lost ? Duration(lostRecoveryInterval) : Duration(resendInterval));
    for (const BalancerInstance& holder : bucket.recovery.unanswered(terminated_))
        send(holder, RecoverBucket { term_->epoch, index });
}

void BucketManager::applyRecovery(std::uint32_t index, RecoveryState state, TimePoint now)
{
    Bucket& bucket = buckets_[index];
    const bool isComplete = state == RecoveryState::Complete;
    const BucketSnapshot* source = bucket.recovery.source();
    const bool isOwnCopy = source && *bucket.recovery.sourceHolder() == self_;
    const std::optional<LostClaims> inherited
        = isOwnCopy ? contentsOf(index, false, now).lost : (source ? source->contents.lost : std::nullopt);
    bucket.baseEpoch = source && isComplete ? source->installedEpoch : 0;
    if (!isOwnCopy)
        mergeSource(index, isComplete, now);
    recordLoss(bucket, state, inherited, now);
    bucket.installedEpoch = term_->epoch;
    bucket.sendsContents = bucket.baseEpoch == 0;
    bucket.sendAt = now;
    setOwnership(bucket, bucket.pair->backup ? Ownership::Installing : Ownership::Active);
}

void BucketManager::mergeSource(std::uint32_t index, bool isComplete, TimePoint now)
{
    const BucketSnapshot* source = buckets_[index].recovery.source();
    const BucketContents contents = source ? source->contents : BucketContents();
    if (isComplete)
        replaceContents(index, contents, now);
    else
        table_.merge(index, contents, now);
}

// A complete copy replaces the older local contents except for the outcomes of this balancer's own work.
void BucketManager::replaceContents(std::uint32_t index, const BucketContents& contents, TimePoint now)
{
    BucketContents own { table_.copy(index, now), 0, std::nullopt };
    std::erase_if(own.claims,
        [&](const ClaimCopy& copy) { return copy.record.runner != self_ || copy.record.state < ClaimState::Sent; });
    table_.clear(index);
    table_.merge(index, contents, now);
    table_.merge(index, own, now);
}

void BucketManager::recordLoss(
    Bucket& bucket, RecoveryState state, const std::optional<LostClaims>& inherited, TimePoint now)
{
    if (state == RecoveryState::Complete) {
        setLoss(bucket, inherited, now);
        if (inherited) {
            bucket.recovery
                = BucketRecovery(inherited->pairs, inherited->isHistoryComplete, inherited->floorEpoch, now);
            bucket.recovery.add(self_, { term_->epoch, 0, term_->epoch, {} });
        }
        return;
    }
    LostClaims lost { term_->epoch, bucket.recovery.lostPairs(), bucket.recovery.isHistoryComplete(), std::nullopt };
    if (!inherited)
        return setLoss(bucket, lost, now);
    lost.pairs.insert(lost.pairs.end(), inherited->pairs.begin(), inherited->pairs.end());
    lost.isHistoryComplete = inherited->isHistoryComplete;
    setLoss(bucket, lost, now);
    bucket.recovery = BucketRecovery(lost.pairs, lost.isHistoryComplete, inherited->floorEpoch, now);
    bucket.recovery.add(self_, { term_->epoch, 0, term_->epoch, {} });
}

void BucketManager::setLoss(Bucket& bucket, const std::optional<LostClaims>& lost, TimePoint now)
{
    bucket.lost = lost;
    bucket.lostUntil.reset();
    if (lost && lost->remaining)
        bucket.lostUntil = now + *lost->remaining;
}

void BucketManager::retryRecovery(std::uint32_t index, TimePoint now)
{
    Bucket& bucket = buckets_[index];
    const RecoveryState state = bucket.recovery.decide(terminated_, now);
    if (state == RecoveryState::Complete) {
        const BucketSnapshot* source = bucket.recovery.source();
        if (source)
            table_.merge(index, source->contents, now);
        const std::optional<LostClaims> inherited = source ? source->contents.lost : std::nullopt;
        recordLoss(bucket, state, inherited, now);
        bucket.sendsContents = true;
        bucket.sendAt = now;
        setOwnership(bucket, bucket.pair->backup ? Ownership::Installing : Ownership::Active);
        return;
    }
    const bool canStartExpiry = state == RecoveryState::Lost && bucket.recovery.allStopped();
    if (!bucket.lostUntil && canStartExpiry)
        bucket.lostUntil = now + table_.limits().retention + maxDeadline_;
    requestSnapshots(index, now);
}

void BucketManager::install(std::uint32_t index, TimePoint now)
{
    Bucket& bucket = buckets_[index];
    if (now < bucket.sendAt)
        return;
    bucket.sendAt = now + resendInterval;
    send(*bucket.pair->backup,
        InstallBucket { term_->epoch, index, bucket.baseEpoch, bucket.sendsContents,
            contentsOf(index, bucket.sendsContents, now) });
}

BucketContents BucketManager::contentsOf(std::uint32_t index, bool withClaims, TimePoint now) const
{
    const Bucket& bucket = buckets_[index];
    BucketContents contents;
    if (withClaims)
        contents.claims = table_.copy(index, now);
    contents.expiredEpoch = table_.expiredEpoch(index);
    contents.lost = bucket.lost;
    if (contents.lost)
        contents.lost->remaining = bucket.lostUntil ? std::optional<Duration>(*bucket.lostUntil - now) : std::nullopt;
    return contents;
}

void BucketManager::noteEpoch(std::uint64_t epoch)
{
    if (epoch <= newestEpoch_)
        return;
    newestEpoch_ = epoch;
    isFetchNeeded_ = true;
    hasOwnershipChanged_ = true;
}

bool BucketManager::isCurrentEpoch(const BalancerInstance& from, std::uint64_t epoch)
{
    noteEpoch(epoch);
    if (term_ && epoch < term_->epoch)
        send(from, TermUpdate { *term_ });
    return knowsNewestTerm() && epoch == newestEpoch_;
}

void BucketManager::handle(const BalancerInstance& from, const RecoverBucket& message, TimePoint now)
{
    noteEpoch(message.epoch);
    if (message.epoch < newestEpoch_) {
        if (term_ && term_->epoch > message.epoch)
            send(from, TermUpdate { *term_ });
        return;
    }
    // From here on messages of older epochs are rejected, so the copy that is sent stays final.
    send(from,
        BucketSnapshot { message.epoch, message.bucket, buckets_[message.bucket].installedEpoch,
            contentsOf(message.bucket, true, now) });
}

void BucketManager::handle(const BalancerInstance& from, const BucketSnapshot& message, TimePoint now)
{
    if (!isCurrentEpoch(from, message.epoch))
        return;
    Bucket& bucket = buckets_[message.bucket];
    if (bucket.ownership == Ownership::NotOwner)
        return;
    bucket.recovery.add(from, message);
    advance(message.bucket, now);
}

void BucketManager::handle(const BalancerInstance& from, const InstallBucket& message, TimePoint now)
{
    if (!isCurrentEpoch(from, message.epoch))
        return;
    Bucket& bucket = buckets_[message.bucket];
    if (!bucket.pair || bucket.pair->owner != from || bucket.pair->backup != self_)
        return;
    const bool isInstalled = bucket.installedEpoch == message.epoch;
    const bool hasBase = bucket.installedEpoch != 0 && bucket.installedEpoch == message.baseEpoch;
    if (!isInstalled && !hasBase && !message.hasContents)
        return send(from, BucketInstalled { message.epoch, message.bucket, false });
    // The owner did not get this balancer's copy during its recovery: send the copy before the contents are merged.
    if (message.contents.lost && bucket.installedEpoch != 0 && !isInstalled)
        send(from,
            BucketSnapshot {
                message.epoch, message.bucket, bucket.installedEpoch, contentsOf(message.bucket, true, now) });
    // A repeated message must not delete claims made since.
    if (message.hasContents && !isInstalled && !message.contents.lost)
        replaceContents(message.bucket, message.contents, now);
    else
        table_.merge(message.bucket, message.contents, now);
    setLoss(bucket, message.contents.lost, now);
    bucket.installedEpoch = message.epoch;
    send(from, BucketInstalled { message.epoch, message.bucket, true });
}

void BucketManager::handle(const BalancerInstance& from, const BucketInstalled& message, TimePoint now)
{
    if (!isCurrentEpoch(from, message.epoch))
        return;
    Bucket& bucket = buckets_[message.bucket];
    if (bucket.ownership != Ownership::Installing || bucket.pair->backup != from)
        return;
    if (message.accepted)
        return setOwnership(bucket, Ownership::Active);
    bucket.sendsContents = true;
    bucket.sendAt = now;
    install(message.bucket, now);
}

void BucketManager::handle(const BalancerInstance& from, const ClaimKey& message, TimePoint now)
{
    const Bucket& bucket = buckets_[message.bucket];
    bool accepted = isCurrentEpoch(from, message.epoch) && bucket.pair && bucket.pair->owner == from
        && bucket.pair->backup == self_ && bucket.installedEpoch == message.epoch;
    if (accepted) {
        const ClaimRecord* known = table_.find(message.bucket, message.digest);
        const bool mayHaveRun = known && known->state > ClaimState::Claimed;
        ClaimRecord record { message.fingerprint, message.issuedEpoch, message.sequence, from, now, ClaimState::Claimed,
            nullptr };
        accepted = !mayHaveRun && table_.put(message.bucket, message.digest, std::move(record));
    }
    send(from, ClaimReply { newestEpoch_, message.sequence, accepted });
}

void BucketManager::handle(const BalancerInstance& from, const WithdrawClaim& message, TimePoint)
{
    const ClaimRecord* known = table_.find(message.bucket, message.digest);
    const bool isThisClaim = known && known->runner == from && known->sequence == message.sequence;
    if (isThisClaim && known->state == ClaimState::Claimed)
        table_.erase(message.bucket, message.digest);
}

void BucketManager::handle(const BalancerInstance& from, const ClaimOutcome& message, TimePoint now)
{
    const ClaimRecord* known = table_.find(message.bucket, message.digest);
    if (!known || known->runner != from || known->sequence != message.sequence)
        return;
    ClaimRecord record = *known;
    record.state = message.isAnswered ? ClaimState::Answered : ClaimState::Unknown;
    record.answer = message.answer;
    record.since = now;
    table_.put(message.bucket, message.digest, std::move(record));
}

void BucketManager::handle(const BalancerInstance& from, const CheckEpoch& message, TimePoint)
{
    const bool accepted = isCurrentEpoch(from, message.epoch);
    send(from, EpochChecked { message.epoch, message.nonce, accepted });
}

Ownership BucketManager::ownership(std::uint32_t bucket) const
{
    return knowsNewestTerm() ? buckets_[bucket].ownership : Ownership::NotOwner;
}

KeyFreshness BucketManager::freshnessOf(std::uint32_t bucket, const RequestKey& key) const
{
    if (table_.mayHaveExpired(bucket, key))
        return KeyFreshness::TooOld;
    const std::optional<LostClaims>& lost = buckets_[bucket].lost;
    if (lost && key.issuedEpoch < lost->floorEpoch)
        return KeyFreshness::Lost;
    return KeyFreshness::Fresh;
}

bool BucketManager::isReleased(TimePoint now) const
{
    if (!term_)
        return true;
    const bool isHolder = std::find(term_->holders.begin(), term_->holders.end(), self_) != term_->holders.end();
    return !isHolder && now - termLearnedAt_ >= handoverTime;
}

std::size_t BucketManager::lostBuckets() const
{
    return std::count_if(buckets_.begin(), buckets_.end(),
        [](const Bucket& bucket) { return bucket.ownership != Ownership::NotOwner && bucket.lost; });
}

void BucketManager::setOwnership(Bucket& bucket, Ownership ownership)
{
    bucket.ownership = ownership;
    hasOwnershipChanged_ = true;
}

void BucketManager::send(const BalancerInstance& to, RequestMessage message)
{
    messages_.push_back({ to, std::move(message) });
}

std::vector<OutgoingMessage> BucketManager::takeMessages() { return std::exchange(messages_, {}); }

bool BucketManager::takeFetchNeeded() { return std::exchange(isFetchNeeded_, false); }

bool BucketManager::takeOwnershipChanged() { return std::exchange(hasOwnershipChanged_, false); }

}
