#include "Flow/ServiceChange.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    // An arbiter repeats what it waits for, so one that says nothing for this long has given the change up.
    constexpr Duration silenceBeforeSwitch = std::chrono::seconds(2);
    // After the switch the exceptions may queue behind other services' in the sender's budget.
    constexpr Duration silenceAfterSwitch = std::chrono::seconds(10);
    constexpr int syncRequestRetries = 2;

    BucketSet allBuckets() { return BucketSet().set(); }

}

ServiceChange::ServiceChange(ServiceId service, FlowTable& flows, bool protectsFlows)
    : service_(service)
    , flows_(flows)
    , protectsFlows_(protectsFlows)
{
}

void ServiceChange::setTarget(std::uint64_t generation, std::shared_ptr<const BucketTable> table,
    std::shared_ptr<const ServerDirectory> directory, const ChangeContext& context)
{
    // Most configurations do not touch this service; for them nothing has to be agreed.
    const bool sameTable = isSettled() && !lead_ && !promise_ && tables_.find(settled_) == table;
    const bool sameDirectory = directory_ == directory;
    tables_.add(generation, std::move(table));
    target_ = generation;
    directory_ = std::move(directory);
    if (sameTable || !protectsFlows_) {
        settled_ = generation;
        answer_ = generation;
        tables_.forgetBelow(generation);
    }
    if (sameTable && sameDirectory)
        return;
    publish(context);
}

void ServiceChange::handleMembers(const ChangeContext& context)
{
    reviewPromise(context);
    deliveries_.dropDead(context);
    publish(context);
}

void ServiceChange::handle(BalancerId from, const FlowMessage& received, const ChangeContext& context)
{
    if (promise_ && promise_->arbiter == from)
        promise_->heardAt = context.now;
    switch (received.messageKind()) {
    case FlowMessageKind::ReportRequest:
        return handleReportRequest(from, received, context);
    case FlowMessageKind::Report:
        return handleReport(from, received, context);
    case FlowMessageKind::ReportAck:
        return handleReportAck(from, received);
    case FlowMessageKind::Switch:
        return handleSwitch(from, received, context);
    case FlowMessageKind::Exceptions:
        return handleExceptions(from, received, context);
    case FlowMessageKind::ExceptionsAck:
        return handleExceptionsAck(from, received);
    case FlowMessageKind::Busy:
        return handleBusy(received, context);
    case FlowMessageKind::Release:
        return handleRelease(from, received, context);
    case FlowMessageKind::SyncRequest:
        return handleSyncRequest(from, received, context);
    }
}

void ServiceChange::tick(const ChangeContext& context)
{
    const bool isIdle = isSettled() && !promise_ && !lead_ && deliveries_.isEmpty();
    if (isIdle)
        return;
    reviewPromise(context);
    reviewLead(context);
    sendReport(context);
    deliveries_.dropDead(context);
    deliveries_.sendDue(message(FlowMessageKind::Exceptions, settled_), context);
    requestSync(context);
}

void ServiceChange::settleAlone(const ChangeContext& context)
{
    if (target_ != 0)
        settleAt(target_, context);
}

void ServiceChange::desynchronize(const ChangeContext& context)
{
    settled_ = 0;
    answer_ = 0;
    promise_.reset();
    intake_.reset();
    lead_.reset();
    deliveries_.clear();
    publish(context);
}

void ServiceChange::handleReportRequest(BalancerId from, const FlowMessage& request, const ChangeContext& context)
{
    const std::uint64_t generation = request.targetGeneration;
    const auto table = tables_.find(generation);
    // Unknown here yet: the arbiter asks again, and the configuration is on its way.
    if (!table)
        return;
    const bool leadsItself = lead_ && context.arbiterOf(service_) != from;
    const bool followsAnother = promise_ && promise_->arbiter != from && promise_->generation > settled_;
    // Others may wait for exceptions that this balancer alone holds; the next change begins after that.
    if (leadsItself || followsAnother || owesExceptions()) {
        context.send(from, message(FlowMessageKind::Busy, generation));
        return;
    }
    if (lead_)
        abandonLead(context);
    const bool reporting = promise_ && promise_->arbiter == from && promise_->generation == generation
        && promise_->report && !promise_->report->isComplete();
    if (reporting)
        return;

    promise_ = Promise { from, generation, std::nullopt, context.now, false };
    // The arbiter may be settled at an older generation than this balancer, and then lacks older exceptions too.
    const std::uint64_t first = std::min(settled_, request.settledGeneration);
    const BucketSet buckets = first == 0 ? allBuckets() : tables_.doubtfulBuckets(first, generation);
    promise_->report.emplace(cutIntoParts(flows_.installAndCollect(routingFor(context), buckets, *table)), context.now);
    sendReport(context);
}

void ServiceChange::handleReport(BalancerId from, const FlowMessage& report, const ChangeContext& context)
{
    const bool leadsIt = lead_ && lead_->generation() == report.targetGeneration;
    // A report that comes after a forced switch still teaches this balancer where those flows belong.
    const bool isLate = !lead_ && settled_ == report.targetGeneration;
    if (!leadsIt && !isLate) {
        if (!lead_)
            context.send(from, message(FlowMessageKind::Release, report.targetGeneration));
        return;
    }
    flows_.learn(flowsOf(report.groups), context.now);
    FlowMessage ack = message(FlowMessageKind::ReportAck, report.targetGeneration);
    ack.list = report.list;
    ack.part = report.part;
    context.send(from, ack);
    if (isLate)
        return;
    if (lead_->accept(from, report))
        lead_->noteProgress(context.now);
    if (report.answerGeneration > answer_) {
        answer_ = report.answerGeneration;
        publish(context);
    }
    if (lead_->isComplete(context))
        switchOver(context);
}

void ServiceChange::handleReportAck(BalancerId from, const FlowMessage& ack)
{
    const bool isMine = promise_ && promise_->arbiter == from && promise_->generation == ack.targetGeneration;
    if (isMine && promise_->report)
        promise_->report->acknowledge(ack.list, ack.part);
}

void ServiceChange::handleSwitch(BalancerId from, const FlowMessage& announced, const ChangeContext& context)
{
    const std::uint64_t generation = announced.targetGeneration;
    if (generation <= settled_)
        return;
    answer_ = std::max(answer_, generation);
    if (promise_ && promise_->arbiter == from && promise_->generation == generation) {
        promise_->switched = true;
        publish(context);
        return;
    }
    // The others went on without this balancer, which they took for dead or which answered too late. Until it holds the
    // exceptions, its own answers could contradict theirs and break flows.
    if (lead_)
        abandonLead(context);
    if (settled_ != 0)
        desynchronize(context);
}

void ServiceChange::handleExceptions(BalancerId from, const FlowMessage& received, const ChangeContext& context)
{
    const std::uint64_t generation = received.targetGeneration;
    FlowMessage ack = message(FlowMessageKind::ExceptionsAck, generation);
    ack.list = received.list;
    ack.part = received.part;
    if (generation <= settled_) {
        context.send(from, ack);
        return;
    }
    const bool fromPromised = promise_ && promise_->arbiter == from && promise_->generation == generation;
    if (!fromPromised && settled_ != 0) {
        // A list without the promise may be cut to buckets that do not cover this balancer's doubts.
        handleSwitch(from, received, context);
        return;
    }
    if (!intake_ || intake_->from != from || intake_->generation != generation)
        intake_ = Intake { from, generation, {} };
    flows_.learn(flowsOf(received.groups), context.now);
    intake_->parts.accept(received);
    context.send(from, ack);
    answer_ = std::max(answer_, generation);
    if (intake_->parts.isComplete() && tables_.find(generation))
        settleAt(generation, context);
}

void ServiceChange::handleExceptionsAck(BalancerId from, const FlowMessage& ack) { deliveries_.acknowledge(from, ack); }

void ServiceChange::handleBusy(const FlowMessage& busy, const ChangeContext& context)
{
    if (lead_ && lead_->generation() == busy.targetGeneration)
        lead_->noteProgress(context.now);
}

void ServiceChange::handleRelease(BalancerId from, const FlowMessage& released, const ChangeContext& context)
{
    const bool isMine = promise_ && promise_->arbiter == from && promise_->generation == released.targetGeneration;
    if (!isMine || promise_->switched)
        return;
    promise_.reset();
    publish(context);
}

void ServiceChange::handleSyncRequest(BalancerId from, const FlowMessage& request, const ChangeContext& context)
{
    const bool canHelp = isSettled() && !lead_ && request.targetGeneration == settled_;
    if (!canHelp)
        return;
    const auto flows = flows_.collect(allBuckets(), *tables_.find(settled_));
    deliveries_.start(from, settled_, cutIntoParts(flows), context.now);
}

void ServiceChange::reviewPromise(const ChangeContext& context)
{
    if (!promise_)
        return;
    const Duration silence = context.now - promise_->heardAt;
    const Duration limit = promise_->switched ? silenceAfterSwitch : silenceBeforeSwitch;
    const bool fulfilled = promise_->generation <= settled_ && promise_->report->isComplete();
    if (!fulfilled && context.isAlive(promise_->arbiter) && silence < limit)
        return;
    promise_.reset();
    publish(context);
}

void ServiceChange::reviewLead(const ChangeContext& context)
{
    const bool isArbiter = context.arbiterOf(service_) == context.view.self;
    if (lead_ && !isArbiter)
        abandonLead(context);
    if (lead_ && lead_->generation() < target_)
        lead_.reset();
    const bool mayLead = isArbiter && !promise_ && deliveries_.isEmpty() && target_ != 0 && settled_ != target_;
    if (!lead_ && mayLead)
        startLead(context);
    if (!lead_)
        return;
    lead_->sendRequests(message(FlowMessageKind::ReportRequest, lead_->generation()), context);
    if (lead_->isComplete(context)) {
        switchOver(context);
    } else if (lead_->patienceIsOver(context)) {
        ++forcedCount_;
        switchOver(context);
    }
}

void ServiceChange::startLead(const ChangeContext& context)
{
    ++startedCount_;
    lead_.emplace(target_, context.now);
    publish(context);
}

void ServiceChange::abandonLead(const ChangeContext& context)
{
    const FlowMessage release = message(FlowMessageKind::Release, lead_->generation());
    context.forEachOther([&](const Member& member) { context.send(member.id, release); });
    lead_.reset();
    publish(context);
}

void ServiceChange::switchOver(const ChangeContext& context)
{
    const ReportCollection reports = std::move(*lead_);
    lead_.reset();
    const std::uint64_t previouslySettled = settled_;
    const BucketSet buckets
        = previouslySettled == 0 ? allBuckets() : tables_.doubtfulBuckets(previouslySettled, reports.generation());
    settled_ = reports.generation();
    answer_ = settled_;
    ++settledCount_;
    const auto exceptions = flows_.installAndCollect(routingFor(context), buckets, *tables_.find(settled_));
    deliverAfterSwitch(reports, previouslySettled, exceptions, context);
    tables_.forgetBelow(settled_);
}

void ServiceChange::deliverAfterSwitch(const ReportCollection& reports, std::uint64_t previouslySettled,
    const std::vector<KnownFlow>& exceptions, const ChangeContext& context)
{
    const auto changedParts = cutIntoParts(exceptions);
    std::shared_ptr<const FlowParts> allParts;
    context.forEachOther([&](const Member& member) {
        context.send(member.id, message(FlowMessageKind::Switch, settled_));
        // Whoever decided by the same table holds all older exceptions; anybody else needs them too.
        const bool heldTheSame = previouslySettled != 0 && reports.settledGenerationOf(member.id) == previouslySettled;
        if (!heldTheSame && !allParts)
            allParts = cutIntoParts(flows_.collect(allBuckets(), *tables_.find(settled_)));
        deliveries_.start(member.id, settled_, heldTheSame ? changedParts : allParts, context.now);
    });
    deliveries_.sendDue(message(FlowMessageKind::Exceptions, settled_), context);
}

void ServiceChange::sendReport(const ChangeContext& context)
{
    if (!promise_ || !promise_->report)
        return;
    FlowMessage report = message(FlowMessageKind::Report, promise_->generation);
    while (const auto part = promise_->report->nextDue(context.now, context.settings.retryInterval)) {
        promise_->report->fill(report, *part);
        if (!context.budget.take(estimatedBytes(report.groups)))
            return;
        context.send(promise_->arbiter, report);
        promise_->report->markSent(*part, context.now);
    }
}

void ServiceChange::requestSync(const ChangeContext& context)
{
    if (!protectsFlows_ || target_ == 0 || settled_ == target_ || promise_ || lead_)
        return;
    const auto arbiter = context.arbiterOf(service_);
    if (!arbiter || *arbiter == context.view.self)
        return;
    if (syncRequestedAt_ && context.now - *syncRequestedAt_ < syncRequestRetries * context.settings.retryInterval)
        return;
    syncRequestedAt_ = context.now;
    context.send(*arbiter, message(FlowMessageKind::SyncRequest, target_));
}

void ServiceChange::settleAt(std::uint64_t generation, const ChangeContext& context)
{
    settled_ = generation;
    answer_ = std::max(answer_, generation);
    ++settledCount_;
    intake_.reset();
    if (promise_ && promise_->generation <= generation)
        promise_.reset();
    tables_.forgetBelow(generation);
    publish(context);
}

std::shared_ptr<const RoutingState> ServiceChange::routingFor(const ChangeContext& context) const
{
    auto routing = std::make_shared<RoutingState>();
    routing->service = service_;
    routing->directory = directory_;
    routing->settled = tables_.find(settled_);
    if (settled_ == 0)
        routing->arbitrated.set();
    else if (settled_ != target_)
        routing->arbitrated = tables_.doubtfulBuckets(settled_, target_);

    const auto arbiter = promise_ ? std::optional(promise_->arbiter) : context.arbiterOf(service_);
    routing->isArbiter = lead_ || arbiter == context.view.self;
    if (routing->isArbiter) {
        // An arbiter that took over after a switch lacks the exceptions until all have reported. A lost packet is made
        // good by the caller, a wrong answer breaks the flow.
        if (settled_ != 0 && answer_ == settled_)
            routing->answer = tables_.find(settled_);
    } else if (arbiter) {
        if (const Member* member = context.view.find(*arbiter))
            routing->arbiterFlowAddress = member->flowAddress;
    }
    return routing;
}

void ServiceChange::publish(const ChangeContext& context) { flows_.install(routingFor(context)); }

FlowMessage ServiceChange::message(FlowMessageKind kind, std::uint64_t targetGeneration) const
{
    FlowMessage made;
    made.kind = static_cast<std::uint8_t>(kind);
    made.service = service_.value;
    made.settledGeneration = settled_;
    made.answerGeneration = answer_;
    made.targetGeneration = targetGeneration;
    return made;
}

}
