// The part of TableSynchronizer that coordinates a change as the arbiter, requests synchronization, and hands flows
// over at a planned stop.
#include "Flow/TableSynchronizer.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    // Retry intervals between two sync requests.
    constexpr int syncRequestIntervals = 2;

    BucketSet allBuckets() { return BucketSet().set(); }

}

void TableSynchronizer::advanceChange(const ChangeContext& context)
{
    const bool isArbiter = arbiter(context) == context.view.self;
    if (reportCollection_ && !isArbiter)
        abortChange(context);
    if (reportCollection_ && reportCollection_->generation() < targetGeneration_)
        reportCollection_.reset();
    const bool hasReason = settledGeneration_ != targetGeneration_ || desiredFactors_ != factors_;
    const bool canStart = isArbiter && !promise_ && deliveries_.isEmpty() && targetGeneration_ != 0 && hasReason;
    if (!reportCollection_ && canStart)
        startChange(context);
    if (!reportCollection_)
        return;
    reportCollection_->sendRequests(message(FlowMessageKind::ReportRequest, reportCollection_->generation()), context);
    if (reportCollection_->isComplete(context)) {
        switchOver(context);
    } else if (reportCollection_->hasTimedOut(context)) {
        // A change of the factors alone waits until all members answer; a configuration change does not.
        const bool onlyFactors = TableGeneration(reportCollection_->generation()).version()
            == TableGeneration(settledGeneration_).version();
        if (onlyFactors) {
            abortChange(context);
            return;
        }
        ++forcedCount_;
        switchOver(context);
    }
}

void TableSynchronizer::startChange(const ChangeContext& context)
{
    ++startedCount_;
    std::uint64_t generation = targetGeneration_;
    if (desiredFactors_ != factors_) {
        // The generation of a cancelled change is never reused, since other balancers may know it with other factors.
        const std::uint64_t switched
            = TableGeneration(std::max(switchedGeneration_, targetGeneration_)).factorsRevision();
        const std::uint64_t highest = std::max({ switched, factorsRevision_, lastIssuedRevision_ });
        lastIssuedRevision_ = TableGeneration::nextRevision(highest, context.view.self);
        generation = TableGeneration(version_, lastIssuedRevision_).number();
        buildTable(generation, desiredFactors_);
    }
    reportCollection_.emplace(generation);
    publish(context);
}

void TableSynchronizer::abortChange(const ChangeContext& context)
{
    const FlowMessage release = message(FlowMessageKind::Release, reportCollection_->generation());
    context.forEachOther([&](const Member& member) { context.send(member.id, release); });
    reportCollection_.reset();
    publish(context);
}

void TableSynchronizer::switchOver(const ChangeContext& context)
{
    const ReportCollection reports = std::move(*reportCollection_);
    reportCollection_.reset();
    const std::uint64_t previouslySettled = settledGeneration_;
    const BucketSet buckets
        = previouslySettled == 0 ? allBuckets() : tables_.differingBuckets(previouslySettled, reports.generation());
    settledGeneration_ = reports.generation();
    switchedGeneration_ = settledGeneration_;
    ++settledCount_;
    adoptFactorsOf(settledGeneration_);
    const auto exceptions = flows_.installAndCollect(routingFor(context), buckets, *tables_.find(settledGeneration_));
    deliverAfterSwitch(reports, previouslySettled, exceptions, context);
    tables_.removeBelow(settledGeneration_);
}

void TableSynchronizer::deliverAfterSwitch(const ReportCollection& reports, std::uint64_t previouslySettled,
    const std::vector<KnownFlow>& exceptions, const ChangeContext& context)
{
    const auto newParts = splitIntoParts(exceptions);
    std::shared_ptr<const FlowParts> allParts;
    context.forEachOther([&](const Member& member) {
        context.send(member.id, message(FlowMessageKind::Switch, settledGeneration_));
        // A member that was settled at the same table has all older exceptions; the others need them too.
        const bool hadSameTable = previouslySettled != 0 && reports.settledGenerationOf(member.id) == previouslySettled;
        if (!hadSameTable && !allParts)
            allParts = splitIntoParts(flows_.collect(allBuckets(), *tables_.find(settledGeneration_)));
        deliveries_.start(member.id, settledGeneration_, hadSameTable ? newParts : allParts, context.now);
    });
    deliveries_.sendDue(message(FlowMessageKind::Exceptions, settledGeneration_), context);
}

void TableSynchronizer::sendReport(const ChangeContext& context)
{
    if (!promise_ || !promise_->report)
        return;
    sendParts(*promise_->report, promise_->arbiter, message(FlowMessageKind::Report, promise_->generation), context);
}

void TableSynchronizer::sendParts(PartSender& parts, BalancerId to, FlowMessage header, const ChangeContext& context)
{
    while (const auto part = parts.nextDue(context.now, context.settings.retryInterval)) {
        parts.fill(header, *part);
        if (!context.budget.take(estimatedBytes(header.groups)))
            return;
        context.send(to, header);
        parts.markSent(*part, context.now);
    }
}

void TableSynchronizer::handleSyncRequest(BalancerId from, const FlowMessage& request, const ChangeContext& context)
{
    // The factors may differ, since the requesting balancer does not know them yet.
    const bool sameVersion
        = TableGeneration(request.targetGeneration).version() == TableGeneration(settledGeneration_).version();
    const bool canAnswer = isSettled() && !reportCollection_ && sameVersion;
    if (!canAnswer)
        return;
    const auto flows = flows_.collect(allBuckets(), *tables_.find(settledGeneration_));
    deliveries_.start(from, settledGeneration_, splitIntoParts(flows), context.now);
}

void TableSynchronizer::requestSync(const ChangeContext& context)
{
    if (!protectsFlows_ || targetGeneration_ == 0 || settledGeneration_ == targetGeneration_ || promise_
        || reportCollection_)
        return;
    const auto arbiterId = arbiter(context);
    if (!arbiterId || *arbiterId == context.view.self)
        return;
    if (syncRequestedAt_ && context.now - *syncRequestedAt_ < syncRequestIntervals * context.settings.retryInterval)
        return;
    syncRequestedAt_ = context.now;
    context.send(*arbiterId, message(FlowMessageKind::SyncRequest, targetGeneration_));
}

// Without the handover, a flow whose few packets all arrived at this balancer would be unknown to the others, and would
// break with the next change that moves its bucket.
void TableSynchronizer::handOver(const ChangeContext& context)
{
    if (!isLeaving_ || reportCollection_ || promise_ || hasPendingDeliveries() || !isSettled())
        return;
    const auto receiver = context.otherArbiterOf(service_);
    const bool receiverChanged = handover_ && !handover_->parts.isComplete() && handover_->to != receiver;
    if (!handover_ || receiverChanged) {
        handover_.emplace(Handover { receiver.value_or(BalancerId {}), PartSender(splitIntoParts({}), context.now) });
        const auto flows = flows_.installAndCollectRarelySeen(routingFor(context));
        if (receiver)
            handover_->parts = PartSender(splitIntoParts(flows), context.now);
        else
            handover_->parts.acknowledgeAll();
    }
    if (receiver)
        sendParts(handover_->parts, handover_->to, message(FlowMessageKind::Handover, settledGeneration_), context);
}

void TableSynchronizer::handleHandover(BalancerId from, const FlowMessage& handover, const ChangeContext& context)
{
    flows_.learn(flowsOf(handover.groups), context.now);
    FlowMessage ack = message(FlowMessageKind::HandoverAck, handover.targetGeneration);
    ack.listId = handover.listId;
    ack.part = handover.part;
    context.send(from, ack);
}

}
