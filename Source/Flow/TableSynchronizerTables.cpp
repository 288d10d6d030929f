// The part of TableSynchronizer that builds tables, publishes the routing state that follows from them, and describes
// them in messages.
#include "Flow/TableSynchronizer.h"

#include <algorithm>

namespace wisteriadock {

// The highest generation that a change in progress may switch to.
std::uint64_t TableSynchronizer::newestPendingGeneration() const
{
    std::uint64_t newest = std::max(settledGeneration_, targetGeneration_);
    if (promise_)
        newest = std::max(newest, promise_->generation);
    if (reportCollection_)
        newest = std::max(newest, reportCollection_->generation());
    return newest;
}

// The factors change only with the settled table, since they are part of it. The target table is the one of the newest
// configuration with these factors.
void TableSynchronizer::adoptFactorsOf(std::uint64_t generation)
{
    factors_ = tables_.factorsOf(generation);
    factorsRevision_ = TableGeneration(generation).factorsRevision();
    if (TableGeneration(generation).version() == version_)
        settledDefinition_ = definition_;
    targetGeneration_
        = TableGeneration(std::max(version_, TableGeneration(generation).version()), factorsRevision_).number();
    if (!tables_.find(targetGeneration_))
        buildTable(targetGeneration_, factors_);
}

std::shared_ptr<const BucketTable> TableSynchronizer::findOrBuildTable(const FlowMessage& received)
{
    const std::uint64_t generation = received.targetGeneration;
    if (auto known = tables_.find(generation))
        return known;
    if (!definition_ || TableGeneration(generation).version() != version_)
        return nullptr;
    WeightFactors factors;
    for (const WeightFactorEntry& entry : received.factors)
        factors.emplace(BackendServerId { entry.backendServer }, entry.permille);
    return buildTable(generation, factors);
}

std::shared_ptr<const BucketTable> TableSynchronizer::buildTable(std::uint64_t generation, const WeightFactors& factors)
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

    const auto arbiterId = promise_ ? std::optional(promise_->arbiter) : arbiter(context);
    routing->isArbiter = reportCollection_ || arbiterId == context.view.self;
    if (routing->isArbiter) {
        // An arbiter that took over after a switch lacks the exceptions until all members have reported. Until then it
        // drops unknown flows: the client retransmits a lost packet, but a wrong server breaks the flow.
        if (settledGeneration_ != 0 && switchedGeneration_ == settledGeneration_)
            routing->arbiterTable = tables_.find(settledGeneration_);
    } else if (arbiterId) {
        if (const Member* member = context.view.find(*arbiterId))
            routing->arbiterFlowAddress = member->flowAddress;
    }
    return routing;
}

void TableSynchronizer::publish(const ChangeContext& context) { flows_.install(routingFor(context)); }

FlowMessage TableSynchronizer::message(FlowMessageKind kind, std::uint64_t targetGeneration) const
{
    FlowMessage result;
    result.kind = static_cast<std::uint8_t>(kind);
    result.service = service_.value;
    result.settledGeneration = settledGeneration_;
    result.switchedGeneration = switchedGeneration_;
    result.targetGeneration = targetGeneration;
    for (const auto& [server, permille] : tables_.factorsOf(targetGeneration))
        result.factors.push_back({ server.value, permille });
    return result;
}

}
