#include "Request/RequestRunner.h"

#include "Net/Http2Client.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    constexpr std::chrono::milliseconds defaultRetryDelay { 1000 };
    constexpr std::chrono::milliseconds fetchTermInterval { 500 };

    RefusalReason reasonFor(HttpFailureKind kind)
    {
        if (kind == HttpFailureKind::DeadlineExceeded)
            return RefusalReason::DeadlinePassed;
        return mayHaveRun(kind) ? RefusalReason::OutcomeUnknown : RefusalReason::Overloaded;
    }

}

RequestRunner::RequestRunner(const RunnerSettings& settings)
    : settings_(settings)
    , buckets_(settings.self, settings.claims, settings.maxDeadline)
    , admission_(settings.self, settings.admission, settings.seed)
    , retries_(settings.retries)
    , claims_(settings.self, buckets_, works_)
    , refusals_(buckets_, works_, settings.backupTimeout, settings.seed + 1)
    , parked_(settings.maxParked, settings.recoveryWait)
{
}

void RequestRunner::learnTerm(const ClaimTerm& term, TimePoint now)
{
    if (buckets_.term() && term.epoch <= buckets_.term()->epoch)
        return;
    leaveEpoch(now);
    buckets_.learnTerm(term, now);
    processResults(now);
}

void RequestRunner::configure(const Configuration& configuration, const MembersView& view, TimePoint now)
{
    for (const Member& member : view.members)
        buckets_.learnStart({ member.id, member.incarnation });
    admission_.configure(configuration, view, now);
    processResults(now);
}

void RequestRunner::arrive(const KeyedAttempt& attempt, TimePoint now)
{
    decide(attempt, now);
    processResults(now);
}

void RequestRunner::arrive(const UnkeyedAttempt& attempt, TimePoint now)
{
    start(makeWork(attempt), now);
    processResults(now);
}

void RequestRunner::decide(const KeyedAttempt& attempt, TimePoint now)
{
    const KeyDecision decision = decideKey(attempt, buckets_, works_, now);
    switch (decision.step) {
    case KeyStep::Park:
        return park(attempt, now);
    case KeyStep::Redirect:
        actions_.emplace_back(RedirectAttempt { attempt.id, buckets_.newestEpoch() });
        return;
    case KeyStep::Join:
        return join(attempt);
    case KeyStep::Answer:
        actions_.emplace_back(AnswerAttempt { attempt.id, decision.answer });
        return;
    case KeyStep::RefuseUnknown:
        return refusals_.refuse(attempt.id, decision.reason, Executed::Unknown, decision.retryDelay);
    case KeyStep::RefuseNotRun:
        return refusals_.refuseWhenConfirmed({ attempt.id, attempt.key, decision.reason, decision.retryDelay }, now);
    case KeyStep::Start:
        return start(makeWork(attempt), now);
    }
}

void RequestRunner::park(const KeyedAttempt& attempt, TimePoint now)
{
    if (!parked_.add(attempt, now))
        return refusals_.refuse(attempt.id, RefusalReason::NotReady, Executed::Unknown, defaultRetryDelay);
    const bool isBehind = !buckets_.knowsNewestTerm() || attempt.key.issuedEpoch > buckets_.newestEpoch();
    // Callers can write any epoch into a key, so the rate of fetches is limited.
    if (!isBehind || now < nextFetchAt_)
        return;
    nextFetchAt_ = now + fetchTermInterval;
    actions_.emplace_back(FetchTerm {});
}

void RequestRunner::join(const KeyedAttempt& attempt)
{
    Work& work = *works_.findByKey(attempt.key.digest);
    if (work.stage != WorkStage::Sent)
        work.deadline = std::max(work.deadline, attempt.deadline);
    works_.addWaiter(work, { attempt.id, attempt.deadline });
}

void RequestRunner::start(Work work, TimePoint now)
{
    retries_.countRequest();
    const Work& started = works_.add(std::move(work));
    admission_.request(started.id, started.service, started.deadline, now);
}

void RequestRunner::cancel(AttemptId id, TimePoint now)
{
    parked_.remove(id);
    Work* work = works_.findByAttempt(id);
    if (!work)
        return;
    works_.removeWaiter(*work, id);
    if (work->waiters.empty()) {
        if (work->stage != WorkStage::Sent)
            drop(*work, now);
        else if (!work->key)
            actions_.emplace_back(CancelWork { work->id });
    }
    processResults(now);
}

void RequestRunner::workAnswered(WorkId id, const SharedResponse& answer, TimePoint now)
{
    const Work* work = works_.find(id);
    if (!work)
        return;
    claims_.recordOutcome(*work, true, answer, now);
    for (const WorkWaiter& waiter : work->waiters)
        actions_.emplace_back(AnswerAttempt { waiter.id, answer });
    works_.erase(id);
    admission_.release(id, true, now);
    processResults(now);
}

void RequestRunner::workFailed(WorkId id, HttpFailureKind kind, TimePoint now)
{
    Work* work = works_.find(id);
    if (!work)
        return;
    work->mayHaveRun = work->mayHaveRun || mayHaveRun(kind);
    // Pauses the unreachable or full server: more work would fail there and use up the retry budget.
    if (!mayHaveRun(kind))
        admission_.pauseServer(work->server, std::chrono::milliseconds(0), now);
    admission_.release(id, false, now);
    const bool isWanted = !work->waiters.empty() && now < work->deadline;
    if (isWanted && retries_.takeRetry(kind, !work->key, work->sendCount)) {
        work->stage = WorkStage::Queued;
        admission_.request(id, work->service, work->deadline, now);
    } else
        giveUp(*work, reasonFor(kind), defaultRetryDelay, now);
    processResults(now);
}

// Ends work without an answer, at any stage, and refuses its waiters according to whether it may have run.
void RequestRunner::giveUp(Work& work, RefusalReason reason, std::chrono::milliseconds retryDelay, TimePoint now)
{
    const Work ended = work;
    if (ended.mayHaveRun) {
        claims_.recordOutcome(ended, false, nullptr, now);
        works_.erase(ended.id);
        admission_.withdraw(ended.id, now);
        return refusals_.refuseAll(ended.waiters, reason, Executed::Unknown, retryDelay);
    }
    drop(work, now);
    if (!ended.key)
        return refusals_.refuseAll(ended.waiters, reason, Executed::No, retryDelay);
    for (const WorkWaiter& waiter : ended.waiters) {
        const PendingRefusal refusal { waiter.id, *ended.key, reason, retryDelay };
        if (ended.isClaimHeld)
            refusals_.refuseAtOnce(refusal, now);
        else
            refusals_.refuseWhenConfirmed(refusal, now);
    }
}

// Processes the results of the components until no new ones follow.
void RequestRunner::processResults(TimePoint now)
{
    for (bool isSettled = false; !isSettled;) {
        if (buckets_.takeOwnershipChanged()) {
            for (const KeyedAttempt& attempt : parked_.takeAll())
                decide(attempt, now);
        }
        const std::vector<SlotGrant> grants = admission_.takeGrants();
        const std::vector<SlotRefusal> slotRefusals = admission_.takeRefusals();
        for (const SlotGrant& grant : grants)
            handleGrant(grant, now);
        for (const SlotRefusal& refusal : slotRefusals)
            handleSlotRefusal(refusal, now);
        isSettled = grants.empty() && slotRefusals.empty();
    }
    std::vector<RequestAction> refused = refusals_.takeActions(now);
    actions_.insert(actions_.end(), std::make_move_iterator(refused.begin()), std::make_move_iterator(refused.end()));
    addMessages(claims_.takeMessages());
    addMessages(buckets_.takeMessages());
    addMessages(admission_.takeMessages());
    if (buckets_.takeFetchNeeded())
        actions_.emplace_back(FetchTerm {});
}

void RequestRunner::addMessages(std::vector<OutgoingMessage> messages)
{
    for (OutgoingMessage& message : messages)
        actions_.emplace_back(std::move(message));
}

void RequestRunner::handleGrant(const SlotGrant& grant, TimePoint now)
{
    Work* work = works_.find(grant.work);
    if (!work)
        return admission_.withdraw(grant.work, now);
    work->server = grant.server;
    if (work->key && !work->isClaimHeld)
        claim(*work, now);
    else
        send(*work, now);
}

void RequestRunner::handleSlotRefusal(const SlotRefusal& refusal, TimePoint now)
{
    if (Work* work = works_.find(refusal.work))
        giveUp(*work, work->mayHaveRun ? RefusalReason::OutcomeUnknown : refusal.reason, refusal.retryDelay, now);
}

void RequestRunner::claim(Work& work, TimePoint now)
{
    switch (claims_.begin(work, now)) {
    case ClaimResult::Held:
        work.isClaimHeld = true;
        return send(work, now);
    case ClaimResult::Pending:
        work.stage = WorkStage::Claiming;
        work.claimDeadline = now + settings_.backupTimeout;
        return;
    case ClaimResult::NotOwner:
        return parkWork(work, now);
    case ClaimResult::TableFull:
        return giveUp(work, RefusalReason::TableFull, defaultRetryDelay, now);
    }
}

void RequestRunner::handleClaimReply(const ClaimReply& reply, TimePoint now)
{
    Work* work = works_.findByClaim(reply.sequence);
    if (!work || work->stage != WorkStage::Claiming)
        return;
    if (reply.accepted) {
        work->isClaimHeld = true;
        return send(*work, now);
    }
    if (reply.epoch > buckets_.newestEpoch()) {
        leaveEpoch(now);
        return buckets_.noteEpoch(reply.epoch);
    }
    refuseUnclaimed(*work, now);
}

void RequestRunner::refuseUnclaimed(Work& work, TimePoint now)
{
    const std::vector<WorkWaiter> waiters = work.waiters;
    drop(work, now);
    refusals_.refuseAll(waiters, RefusalReason::BackupUnreachable, Executed::Unknown, defaultRetryDelay);
}

void RequestRunner::send(Work& work, TimePoint now)
{
    if (work.waiters.empty())
        return drop(work, now);
    // Checks the deadline immediately before sending, because the balancer may have been paused since the last check.
    if (now >= work.deadline)
        return giveUp(work, RefusalReason::DeadlinePassed, defaultRetryDelay, now);
    work.stage = WorkStage::Sent;
    ++work.sendCount;
    claims_.recordSent(work, now);
    actions_.emplace_back(StartWork { work.id, work.waiters.front().id, work.server, work.deadline });
}

void RequestRunner::drop(Work& work, TimePoint now)
{
    const WorkId id = work.id;
    claims_.withdraw(work);
    works_.erase(id);
    admission_.withdraw(id, now);
}

// Parks attempts whose claim no backup holds yet, and withdraws the claim before the bucket is handed over; otherwise
// the new owner would find a claim that is never used.
void RequestRunner::leaveEpoch(TimePoint now)
{
    for (const WorkId id : works_.ids()) {
        Work* work = works_.find(id);
        if (work && work->key && !work->isClaimHeld)
            parkWork(*work, now);
    }
    refusals_.abandonPending();
}

void RequestRunner::parkWork(Work& work, TimePoint now)
{
    const Work parked = work;
    drop(work, now);
    for (const WorkWaiter& waiter : parked.waiters)
        park({ waiter.id, *parked.key, parked.fingerprint, parked.service, waiter.deadline, std::nullopt }, now);
}

void RequestRunner::receive(const BalancerInstance& from, const RequestMessage& message, TimePoint now)
{
    if (const auto* recover = std::get_if<RecoverBucket>(&message)) {
        if (recover->epoch > buckets_.newestEpoch())
            leaveEpoch(now);
    }
    std::visit(
        [&](const auto& content) {
            using Content = std::decay_t<decltype(content)>;
            if constexpr (requires { content.bucket; }) {
                if (content.bucket >= claimBucketCount)
                    return;
            }
            if constexpr (std::is_same_v<Content, ClaimReply>)
                handleClaimReply(content, now);
            else if constexpr (std::is_same_v<Content, EpochChecked>)
                refusals_.handleEpochChecked(from, content, now);
            else if constexpr (std::is_same_v<Content, TermUpdate>)
                learnTerm(content.term, now);
            else if constexpr (requires { admission_.handle(from, content, now); })
                admission_.handle(from, content, now);
            else
                buckets_.handle(from, content, now);
        },
        message);
    processResults(now);
}

std::optional<std::string> RequestRunner::issueTicket(std::uint64_t high, std::uint64_t low) const
{
    if (!buckets_.knowsNewestTerm())
        return std::nullopt;
    return makeTicket(buckets_.term()->zone, buckets_.newestEpoch(), high, low);
}

void RequestRunner::tick(TimePoint now)
{
    buckets_.tick(now);
    expireClaims(now);
    expireWaiters(now);
    for (const AttemptId id : parked_.takeExpired(now))
        refusals_.refuse(id, RefusalReason::NotReady, Executed::Unknown, defaultRetryDelay);
    refusals_.expirePending(now);
    admission_.tick(now);
    processResults(now);
}

void RequestRunner::expireClaims(TimePoint now)
{
    for (const WorkId id : works_.ids()) {
        Work* work = works_.find(id);
        if (work && work->stage == WorkStage::Claiming && now >= work->claimDeadline)
            refuseUnclaimed(*work, now);
    }
}

void RequestRunner::expireWaiters(TimePoint now)
{
    for (const WorkId id : works_.ids()) {
        Work* work = works_.find(id);
        if (!work)
            continue;
        const std::vector<WorkWaiter> waiters = work->waiters;
        for (const WorkWaiter& waiter : waiters) {
            Work* remaining = works_.find(id);
            if (remaining && now >= waiter.deadline)
                expireWaiter(*remaining, waiter.id, now);
        }
    }
}

void RequestRunner::expireWaiter(Work& work, AttemptId id, TimePoint now)
{
    const bool isLast = work.waiters.size() == 1;
    if (isLast && work.stage != WorkStage::Sent)
        return giveUp(work, RefusalReason::DeadlinePassed, defaultRetryDelay, now);
    works_.removeWaiter(work, id);
    refusals_.refuse(id, RefusalReason::DeadlinePassed, Executed::Unknown, defaultRetryDelay);
    if (isLast && !work.key)
        actions_.emplace_back(CancelWork { work.id });
}

}
