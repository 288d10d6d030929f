#include "Flow/TableSynchronizer.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    // An arbiter repeats what it waits for, so one that says nothing for this long has given the change up.
    constexpr Duration silenceBeforeSwitch = std::chrono::seconds(2);
    // After the switch the exceptions may queue behind other services' in the sender's budget.
    constexpr Duration silenceAfterSwitch = std::chrono::seconds(10);

    BucketSet allBuckets() { return BucketSet().set(); }

}

TableSynchronizer::TableSynchronizer(ServiceId service, FlowTable& flows, bool protectsFlows)
    : service_(service)
    , flows_(flows)
    , protectsFlows_(protectsFlows)
{
}

void TableSynchronizer::setVersion(std::uint64_t version, std::shared_ptr<const TableDefinition> source,
    std::shared_ptr<const ServerDirectory> directory, const ChangeContext& context)
{
    const bool sameDirectory = directory_ == directory;
    const bool sameDefinition = definition_ == source;
    const bool wasSettled = isSettled();
    version_ = version;
    definition_ = std::move(source);
    directory_ = std::move(directory);
    targetGeneration_ = TableGeneration(version_, factorsRevision_).number();
    const auto settledTable = tables_.find(settledGeneration_);
    tables_.add(
        targetGeneration_, wasSettled && sameDefinition ? settledTable : definition_->build(factors_), factors_);
    if (!protectsFlows_)
        settledDefinition_ = definition_;
    // New factors can wait; under the new version they are tried again.
    if (reportCollection_ && settledDefinition_ == definition_)
        abortChange(context);
    settleIfUnchanged();
    if (wasSettled && isSettled() && sameDefinition && sameDirectory)
        return;
    publish(context);
}

// Most configurations do not touch this service; for them nothing has to be agreed. Nobody can have switched to another
// table without this balancer's promise, or else it hears of that.
void TableSynchronizer::settleIfUnchanged()
{
    const bool unchanged = settledDefinition_ == definition_ && (settledGeneration_ != 0 || !protectsFlows_);
    if (!unchanged || reportCollection_ || promise_ || settledGeneration_ >= targetGeneration_)
        return;
    settledGeneration_ = targetGeneration_;
    switchedGeneration_ = std::max(switchedGeneration_, targetGeneration_);
    tables_.forgetBelow(targetGeneration_);
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
        // Having heard from the arbiter is all that it is for.
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
    const auto table = learnTable(request);
    // Unknown here yet: the arbiter asks again, and the configuration is on its way.
    if (!table)
        return;
    const bool isLeading = reportCollection_ && arbiter(context) != from;
    const bool followsAnother = promise_ && promise_->arbiter != from && promise_->generation > settledGeneration_;
    // Others may wait for exceptions that this balancer alone holds; the next change begins after that.
    if (isLeading || followsAnother || hasPendingDeliveries()) {
        context.send(from, message(FlowMessageKind::Busy, generation));
        return;
    }
    if (reportCollection_)
        abortChange(context);
    const bool reporting = promise_ && promise_->arbiter == from && promise_->generation == generation
        && promise_->report && !promise_->report->isComplete();
    if (reporting) {
        // Parts may wait for the budget, so that the arbiter hears nothing for long.
        context.send(from, message(FlowMessageKind::Busy, generation));
        return;
    }

    promise_ = Promise { from, generation, std::nullopt, context.now, false };
    // The arbiter may be settled at an older generation than this balancer, and then lacks older exceptions too.
    const std::uint64_t first = std::min(settledGeneration_, request.settledGeneration);
    const BucketSet buckets = first == 0 ? allBuckets() : tables_.differingBuckets(first, generation);
    promise_->report.emplace(
        splitIntoParts(flows_.installAndCollect(routingFor(context), buckets, *table)), context.now);
    sendReport(context);
}

void TableSynchronizer::handleReport(BalancerId from, const FlowMessage& report, const ChangeContext& context)
{
    const bool isCollecting = reportCollection_ && reportCollection_->generation() == report.targetGeneration;
    // A report that comes after a forced switch still teaches this balancer where those flows belong.
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
    const bool isMine = promise_ && promise_->arbiter == from && promise_->generation == ack.targetGeneration;
    if (isMine && promise_->report)
        promise_->report->acknowledge(ack.listId, ack.part);
}

void TableSynchronizer::handleSwitch(BalancerId from, const FlowMessage& announced, const ChangeContext& context)
{
    const std::uint64_t generation = announced.targetGeneration;
    if (generation <= settledGeneration_)
        return;
    learnTable(announced);
    switchedGeneration_ = std::max(switchedGeneration_, generation);
    if (promise_ && promise_->arbiter == from && promise_->generation == generation) {
        promise_->switched = true;
        publish(context);
        return;
    }
    // The others went on without this balancer, which they took for dead or which answered too late. Until it holds the
    // exceptions, its own answers could contradict theirs and break flows.
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
    const bool fromPromised = promise_ && promise_->arbiter == from && promise_->generation == generation;
    if (!fromPromised && settledGeneration_ != 0) {
        // A list without the promise may be cut to buckets that do not cover this balancer's doubts.
        handleSwitch(from, received, context);
        return;
    }
    if (!incomingExceptions_ || incomingExceptions_->from != from || incomingExceptions_->generation != generation)
        incomingExceptions_ = IncomingExceptions { from, generation, {} };
    flows_.learn(flowsOf(received.groups), context.now);
    incomingExceptions_->parts.accept(received);
    context.send(from, ack);
    switchedGeneration_ = std::max(switchedGeneration_, generation);
    if (incomingExceptions_->parts.isComplete() && learnTable(received))
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
    const bool isMine = promise_ && promise_->arbiter == from && promise_->generation == released.targetGeneration;
    if (!isMine || promise_->switched)
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
    const Duration limit = promise_->switched ? silenceAfterSwitch : silenceBeforeSwitch;
    const bool isSilent = context.now - promise_->lastMessageAt >= limit;
    if (!fulfilled && arbiterIsAlive && !isSilent)
        return;
    // An arbiter that is up but not heard may switch, or have switched, without this balancer's hearing of it.
    if (!fulfilled && arbiterIsAlive && promise_->generation > settledGeneration_) {
        desynchronize(context);
        return;
    }
    promise_.reset();
    settleIfUnchanged();
    publish(context);
}

// Whoever leaves leads nothing new.
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
    tables_.forgetBelow(generation);
    publish(context);
}

// The last table that a change under way may lead to.
std::uint64_t TableSynchronizer::newestPendingGeneration() const
{
    std::uint64_t newest = std::max(settledGeneration_, targetGeneration_);
    if (promise_)
        newest = std::max(newest, promise_->generation);
    if (reportCollection_)
        newest = std::max(newest, reportCollection_->generation());
    return newest;
}

// The factors are part of what was agreed, so they change only with the settled table. The newest configuration then
// stands under them.
void TableSynchronizer::adoptFactorsOf(std::uint64_t generation)
{
    factors_ = tables_.factorsOf(generation);
    factorsRevision_ = TableGeneration(generation).factorsRevision();
    if (TableGeneration(generation).version() == version_)
        settledDefinition_ = definition_;
    targetGeneration_
        = TableGeneration(std::max(version_, TableGeneration(generation).version()), factorsRevision_).number();
    if (!tables_.find(targetGeneration_))
        makeTable(targetGeneration_, factors_);
}

std::shared_ptr<const BucketTable> TableSynchronizer::learnTable(const FlowMessage& received)
{
    const std::uint64_t generation = received.targetGeneration;
    if (auto known = tables_.find(generation))
        return known;
    if (!definition_ || TableGeneration(generation).version() != version_)
        return nullptr;
    WeightFactors factors;
    for (const WeightFactorEntry& row : received.factors)
        factors.emplace(BackendServerId { row.backendServer }, row.permille);
    return makeTable(generation, factors);
}

std::shared_ptr<const BucketTable> TableSynchronizer::makeTable(std::uint64_t generation, const WeightFactors& factors)
{
    auto table = definition_->build(factors);
    tables_.add(generation, table, factors);
    return table;
}

std::shared_ptr<const RoutingState> TableSynchronizer::routingFor(const ChangeContext& context) const
{
    auto routing = std::make_shared<RoutingState>();
    routing->service = service_;
    routing->directory = directory_;
    routing->settledTable = tables_.find(settledGeneration_);
    if (settledGeneration_ == 0 || handover_)
        routing->arbitratedBuckets.set();
    else
        routing->arbitratedBuckets = tables_.differingBuckets(settledGeneration_, newestPendingGeneration());

    const auto decider = promise_ ? std::optional(promise_->arbiter) : arbiter(context);
    routing->isArbiter = reportCollection_ || decider == context.view.self;
    if (routing->isArbiter) {
        // An arbiter that took over after a switch lacks the exceptions until all have reported. A lost packet is made
        // good by the caller, a wrong answer breaks the flow.
        if (settledGeneration_ != 0 && switchedGeneration_ == settledGeneration_)
            routing->arbiterTable = tables_.find(settledGeneration_);
    } else if (decider) {
        if (const Member* member = context.view.find(*decider))
            routing->arbiterFlowAddress = member->flowAddress;
    }
    return routing;
}

void TableSynchronizer::publish(const ChangeContext& context) { flows_.install(routingFor(context)); }

FlowMessage TableSynchronizer::message(FlowMessageKind kind, std::uint64_t targetGeneration) const
{
    FlowMessage made;
    made.kind = static_cast<std::uint8_t>(kind);
    made.service = service_.value;
    made.settledGeneration = settledGeneration_;
    made.switchedGeneration = switchedGeneration_;
    made.targetGeneration = targetGeneration;
    for (const auto& [server, permille] : tables_.factorsOf(targetGeneration))
        made.factors.push_back({ server.value, permille });
    return made;
}

}
