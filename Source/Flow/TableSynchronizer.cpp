#include "Flow/TableSynchronizer.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    // Time without a message from the arbiter after which a promise ends. Before the switch, the arbiter sends a
    // message at each retry interval.
    constexpr Duration timeoutBeforeSwitch = std::chrono::seconds(2);
    // After the switch, the exceptions may be delayed by the arbiter's send budget.
    constexpr Duration timeoutAfterSwitch = std::chrono::seconds(10);

    BucketSet allBuckets() { return BucketSet().set(); }

}

TableSynchronizer::TableSynchronizer(ServiceId service, FlowTable& flows, bool protectsFlows)
    : service_(service)
    , flows_(flows)
    , protectsFlows_(protectsFlows)
{
}

void TableSynchronizer::setVersion(std::uint64_t version, std::shared_ptr<const TableDefinition> definition,
    std::shared_ptr<const ServerDirectory> directory, const ChangeContext& context)
{
    const bool sameDirectory = directory_ == directory;
    const bool sameDefinition = definition_ == definition;
    const bool wasSettled = isSettled();
    version_ = version;
    definition_ = std::move(definition);
    directory_ = std::move(directory);
    targetGeneration_ = TableGeneration(version_, factorsRevision_).number();
    const auto settledTable = tables_.find(settledGeneration_);
    tables_.add(
        targetGeneration_, wasSettled && sameDefinition ? settledTable : definition_->build(factors_), factors_);
    if (!protectsFlows_)
        settledDefinition_ = definition_;
    // A change of the factors alone is cancelled; it starts again with the new version.
    if (reportCollection_ && settledDefinition_ == definition_)
        abortChange(context);
    settleIfUnchanged();
    if (wasSettled && isSettled() && sameDefinition && sameDirectory)
        return;
    publish(context);
}

// Settles at the target generation without agreement if its table is the settled one. This is safe: an arbiter that
// switches to another table either has this balancer's promise or announces the switch to it.
void TableSynchronizer::settleIfUnchanged()
{
    const bool unchanged = settledDefinition_ == definition_ && (settledGeneration_ != 0 || !protectsFlows_);
    if (!unchanged || reportCollection_ || promise_ || settledGeneration_ >= targetGeneration_)
        return;
    settledGeneration_ = targetGeneration_;
    switchedGeneration_ = std::max(switchedGeneration_, targetGeneration_);
    tables_.removeBelow(targetGeneration_);
}

void TableSynchronizer::setDesiredFactors(WeightFactors factors)
{
    if (factors.size() <= maxFactors)
        desiredFactors_ = std::move(factors);
}

void TableSynchronizer::handleMembers(const ChangeContext& context)
{
    checkPromise(context);
    deliveries_.removeDead(context);
    publish(context);
}

void TableSynchronizer::handle(BalancerId from, const FlowMessage& received, const ChangeContext& context)
{
    if (promise_ && promise_->arbiter == from)
        promise_->lastMessageAt = context.now;
    switch (received.messageKind()) {
    case FlowMessageKind::ReportRequest:
        return handleReportRequest(from, received, context);
    case FlowMessageKind::Report:
        return handleReport(from, received, context);
    case FlowMessageKind::ReportAck:
        return handleReportAck(from, received);
    case FlowMessageKind::Hold:
        // Only restarts the timeout of the promise, above.
        return;
    case FlowMessageKind::Switch:
        return handleSwitch(from, received, context);
    case FlowMessageKind::Exceptions:
        return handleExceptions(from, received, context);
    case FlowMessageKind::ExceptionsAck:
        return handleExceptionsAck(from, received);
    case FlowMessageKind::Busy:
        return handleBusy(from, received, context);
    case FlowMessageKind::Release:
        return handleRelease(from, received, context);
    case FlowMessageKind::Handover:
        return handleHandover(from, received, context);
    case FlowMessageKind::HandoverAck:
        if (handover_ && handover_->to == from)
            handover_->parts.acknowledge(received.listId, received.part);
        return;
    case FlowMessageKind::SyncRequest:
        return handleSyncRequest(from, received, context);
    }
}

void TableSynchronizer::tick(const ChangeContext& context)
{
    const bool wantsChange = desiredFactors_ != factors_ && isArbiter(context);
    const bool isIdle
        = isSettled() && !promise_ && !reportCollection_ && deliveries_.isEmpty() && !wantsChange && !isLeaving_;
    if (isIdle)
        return;
    checkPromise(context);
    advanceChange(context);
    sendReport(context);
    deliveries_.removeDead(context);
    deliveries_.sendDue(message(FlowMessageKind::Exceptions, settledGeneration_), context);
    requestSync(context);
    handOver(context);
}

void TableSynchronizer::settleAlone(const ChangeContext& context)
{
    if (targetGeneration_ != 0)
        settleAt(targetGeneration_, context);
}

void TableSynchronizer::desynchronize(const ChangeContext& context)
{
    settledGeneration_ = 0;
    switchedGeneration_ = 0;
    promise_.reset();
    incomingExceptions_.reset();
    reportCollection_.reset();
    deliveries_.clear();
    publish(context);
}

void TableSynchronizer::handleReportRequest(BalancerId from, const FlowMessage& request, const ChangeContext& context)
{
    const std::uint64_t generation = request.targetGeneration;
    const auto table = findOrBuildTable(request);
    // The configuration has not arrived yet. The arbiter repeats the request.
    if (!table)
        return;
    const bool isLeading = reportCollection_ && arbiter(context) != from;
    const bool followsAnother = promise_ && promise_->arbiter != from && promise_->generation > settledGeneration_;
    // Other balancers may need exceptions that only this balancer has, so they are delivered before the next change.
    if (isLeading || followsAnother || hasPendingDeliveries()) {
        context.send(from, message(FlowMessageKind::Busy, generation));
        return;
    }
    if (reportCollection_)
        abortChange(context);
    const bool reporting = promise_ && promise_->arbiter == from && promise_->generation == generation
        && promise_->report && !promise_->report->isComplete();
    if (reporting) {
        // The send budget may delay the parts of the report; Busy keeps the arbiter from timing out.
        context.send(from, message(FlowMessageKind::Busy, generation));
        return;
    }

    promise_ = Promise { from, generation, std::nullopt, context.now, false };
    // If the arbiter is settled at an older generation than this balancer, it lacks the exceptions since then.
    const std::uint64_t first = std::min(settledGeneration_, request.settledGeneration);
    const BucketSet buckets = first == 0 ? allBuckets() : tables_.differingBuckets(first, generation);
    promise_->report.emplace(
        splitIntoParts(flows_.installAndCollect(routingFor(context), buckets, *table)), context.now);
    sendReport(context);
}

void TableSynchronizer::handleReport(BalancerId from, const FlowMessage& report, const ChangeContext& context)
{
    const bool isCollecting = reportCollection_ && reportCollection_->generation() == report.targetGeneration;
    // Flows of a report that arrives after a forced switch are still added.
    const bool isLate = !reportCollection_ && settledGeneration_ == report.targetGeneration;
    if (!isCollecting && !isLate) {
        if (!reportCollection_)
            context.send(from, message(FlowMessageKind::Release, report.targetGeneration));
        return;
    }
    flows_.learn(flowsOf(report.groups), context.now);
    FlowMessage ack = message(FlowMessageKind::ReportAck, report.targetGeneration);
    ack.listId = report.listId;
    ack.part = report.part;
    context.send(from, ack);
    if (isLate)
        return;
    if (reportCollection_->accept(from, report))
        reportCollection_->recordProgress(from, context.now);
    if (report.switchedGeneration > switchedGeneration_) {
        switchedGeneration_ = report.switchedGeneration;
        publish(context);
    }
    if (reportCollection_->isComplete(context))
        switchOver(context);
}

void TableSynchronizer::handleReportAck(BalancerId from, const FlowMessage& ack)
{
    const bool matchesPromise = promise_ && promise_->arbiter == from && promise_->generation == ack.targetGeneration;
    if (matchesPromise && promise_->report)
        promise_->report->acknowledge(ack.listId, ack.part);
}

void TableSynchronizer::handleSwitch(BalancerId from, const FlowMessage& announced, const ChangeContext& context)
{
    const std::uint64_t generation = announced.targetGeneration;
    if (generation <= settledGeneration_)
        return;
    findOrBuildTable(announced);
    switchedGeneration_ = std::max(switchedGeneration_, generation);
    if (promise_ && promise_->arbiter == from && promise_->generation == generation) {
        promise_->switched = true;
        publish(context);
        return;
    }
    // The arbiter switched without this balancer's report, because it considered this balancer dead or the report timed
    // out. Routing by the old table without the exceptions could break flows.
    if (reportCollection_)
        abortChange(context);
    if (settledGeneration_ != 0)
        desynchronize(context);
}

void TableSynchronizer::handleExceptions(BalancerId from, const FlowMessage& received, const ChangeContext& context)
{
    const std::uint64_t generation = received.targetGeneration;
    FlowMessage ack = message(FlowMessageKind::ExceptionsAck, generation);
    ack.listId = received.listId;
    ack.part = received.part;
    if (generation <= settledGeneration_) {
        context.send(from, ack);
        return;
    }
    const bool matchesPromise = promise_ && promise_->arbiter == from && promise_->generation == generation;
    if (!matchesPromise && settledGeneration_ != 0) {
        // Without a promise, the list may not cover all buckets in which this balancer's table differs.
        handleSwitch(from, received, context);
        return;
    }
    if (!incomingExceptions_ || incomingExceptions_->from != from || incomingExceptions_->generation != generation)
        incomingExceptions_ = IncomingExceptions { from, generation, {} };
    flows_.learn(flowsOf(received.groups), context.now);
    incomingExceptions_->parts.accept(received);
    context.send(from, ack);
    switchedGeneration_ = std::max(switchedGeneration_, generation);
    if (incomingExceptions_->parts.isComplete() && findOrBuildTable(received))
        settleAt(generation, context);
}

void TableSynchronizer::handleExceptionsAck(BalancerId from, const FlowMessage& ack)
{
    deliveries_.acknowledge(from, ack);
}

void TableSynchronizer::handleBusy(BalancerId from, const FlowMessage& busy, const ChangeContext& context)
{
    if (reportCollection_ && reportCollection_->generation() == busy.targetGeneration)
        reportCollection_->recordProgress(from, context.now);
}

void TableSynchronizer::handleRelease(BalancerId from, const FlowMessage& released, const ChangeContext& context)
{
    const bool matchesPromise
        = promise_ && promise_->arbiter == from && promise_->generation == released.targetGeneration;
    if (!matchesPromise || promise_->switched)
        return;
    promise_.reset();
    settleIfUnchanged();
    publish(context);
}

void TableSynchronizer::checkPromise(const ChangeContext& context)
{
    if (!promise_)
        return;
    const bool fulfilled = promise_->generation <= settledGeneration_ && promise_->report->isComplete();
    const bool arbiterIsAlive = context.isAlive(promise_->arbiter);
    const Duration timeout = promise_->switched ? timeoutAfterSwitch : timeoutBeforeSwitch;
    const bool hasTimedOut = context.now - promise_->lastMessageAt >= timeout;
    if (!fulfilled && arbiterIsAlive && !hasTimedOut)
        return;
    // An arbiter that is not dead may have switched although its messages do not arrive.
    if (!fulfilled && arbiterIsAlive && promise_->generation > settledGeneration_) {
        desynchronize(context);
        return;
    }
    promise_.reset();
    settleIfUnchanged();
    publish(context);
}

// A leaving balancer starts no change, but remains the arbiter of one that is in progress.
std::optional<BalancerId> TableSynchronizer::arbiter(const ChangeContext& context) const
{
    return isLeaving_ && !reportCollection_ ? context.otherArbiterOf(service_) : context.arbiterOf(service_);
}

void TableSynchronizer::settleAt(std::uint64_t generation, const ChangeContext& context)
{
    settledGeneration_ = generation;
    switchedGeneration_ = std::max(switchedGeneration_, generation);
    ++settledCount_;
    adoptFactorsOf(generation);
    incomingExceptions_.reset();
    if (promise_ && promise_->generation <= generation)
        promise_.reset();
    tables_.removeBelow(generation);
    publish(context);
}

}
