#include "Flow/FlowEngine.h"

#include "Flow/BucketTable.h"
#include "Flow/ChangeContext.h"
#include "Flow/ServerWeights.h"
#include "Flow/ServiceIndex.h"
#include "Flow/TableDefinition.h"
#include "Flow/TableSynchronizer.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <utility>

namespace wisteriadock {

namespace {

    // Bounds of the search for idle flows in one tick, so that a tick stays short whatever the number of flows.
    constexpr std::size_t entriesSweptPerTick = 8192;
    constexpr std::size_t shardsSweptPerTick = 64;

    // A configuration grouped for a look at one service after the other.
    struct GroupedServers {
        explicit GroupedServers(const Configuration& configuration)
        {
            for (const BackendServer& server : configuration.backendServers) {
                byService[server.service].push_back(&server);
                usedAddresses.insert(server.flowAddress);
            }
        }

        absl::flat_hash_map<ServiceId, std::vector<const BackendServer*>> byService;
        absl::flat_hash_set<Endpoint> usedAddresses;
    };

    TableDefinition tableDefinitionOf(
        FlowPolicy policy, const Service& service, const std::vector<const BackendServer*>& servers)
    {
        TableDefinition source { policy, service.id, service.evenness, {} };
        for (const BackendServer* server : servers) {
            if (server->state == BackendServerState::Active)
                source.shares.push_back({ server->id, server->weight });
        }
        std::sort(source.shares.begin(), source.shares.end(),
            [](const ServerShare& a, const ServerShare& b) { return a.server < b.server; });
        return source;
    }

}

struct FlowEngine::Implementation {
    struct ServiceControl {
        std::shared_ptr<ServiceFlows> flows;
        std::unique_ptr<TableSynchronizer> synchronizer;
        std::shared_ptr<const TableDefinition> tableDefinition;
        ServerWeights weights;
        std::shared_ptr<const ServerDirectory> directory;
        std::chrono::seconds flowIdle { 0 };
    };

    Implementation(FlowSettings settingsToUse, BalancerId selfId)
        : settings(settingsToUse)
        , view(std::make_shared<MembersView>())
        , tracking(std::make_shared<FlowTrackingCounters>(settingsToUse.trackedFlows))
        , budget(settingsToUse.transitionBytesPerSecond, TimePoint())
    {
        auto alone = std::make_shared<MembersView>();
        alone->self = selfId;
        view = std::move(alone);
    }

    ChangeContext context(TimePoint now, FlowActions& actions) { return { *view, settings, budget, now, actions }; }

    void applyConfiguration(const Configuration&, std::uint64_t version, const ChangeContext&);
    ServiceControl& controlOf(const Service&);
    std::shared_ptr<const ServerDirectory> directoryOf(const std::vector<const BackendServer*>&,
        const absl::flat_hash_set<Endpoint>& usedAddresses, const std::shared_ptr<const ServerDirectory>& previous,
        TimePoint now) const;
    void publishIndex(const Configuration&);
    void bootstrapIfDue(const ChangeContext&);
    bool canBootstrap() const;
    void updateSynchronized();
    void sweepIdleFlows(TimePoint now);
    void updateWeightFactors(const ChangeContext&);

    const FlowSettings settings;
    std::shared_ptr<const MembersView> view;
    std::shared_ptr<FlowTrackingCounters> tracking;
    SendBudget budget;
    FlowActions noActions;
    ServiceIndex index;
    std::map<ServiceId, ServiceControl> services;
    std::uint64_t version = 0;
    bool synchronized = false;
    std::optional<TimePoint> noServingMemberSince;
    std::optional<TimePoint> weightFactorsUpdatedAt;
    std::atomic<TimePoint> lastTick { TimePoint() };
    std::atomic<bool> awaitsContact { false };
    // The shard that the search for idle flows comes to next.
    ServiceId sweptService;
    std::size_t sweptShard = 0;
};

FlowEngine::FlowEngine(FlowSettings settings, BalancerId self, std::uint64_t)
    : implementation_(std::make_unique<Implementation>(settings, self))
{
}

FlowEngine::~FlowEngine() = default;

RouteDecision FlowEngine::route(const FlowPacket& packet, TimePoint now)
{
    Implementation& engine = *implementation_;
    // A process that was stopped for a while wakes with packets in its socket and an old view of everything. Deciding
    // by that view could send a flow to a server that the others have moved it from, or that was given away.
    const bool wasPaused = now - engine.lastTick.load(std::memory_order_relaxed) > engine.settings.pauseThreshold;
    if (wasPaused || engine.awaitsContact.load(std::memory_order_acquire))
        return { RouteKind::Drop, DropReason::AwaitingContact, {}, {}, {} };
    return engine.index.withService(packet.serviceAddress, [&](ServiceFlows* service) -> RouteDecision {
        if (!service)
            return { RouteKind::Drop, DropReason::UnknownAddress, {}, {}, {} };
        const FlowKey key = flowKeyOf(service->id, packet.client, packet.serviceAddress);
        return service->table.route(key, packet, now);
    });
}

FlowActions FlowEngine::applyConfiguration(
    const std::shared_ptr<const Configuration>& configuration, std::uint64_t version, TimePoint now)
{
    FlowActions actions;
    if (version <= implementation_->version)
        return actions;
    implementation_->version = version;
    implementation_->applyConfiguration(*configuration, version, implementation_->context(now, actions));
    implementation_->updateSynchronized();
    return actions;
}

FlowActions FlowEngine::applyMembers(std::shared_ptr<const MembersView> view, TimePoint now)
{
    FlowActions actions;
    Implementation& engine = *implementation_;
    const bool wasIsolated = engine.view->isolated;
    engine.view = std::move(view);
    if (engine.view->isolated)
        engine.awaitsContact.store(true, std::memory_order_relaxed);
    const ChangeContext context = engine.context(now, actions);
    const bool hasContactAgain = wasIsolated && !engine.view->isolated;
    if (hasContactAgain && protectsFlows(engine.settings.policy))
        engine.synchronized = false;
    for (auto& [id, service] : engine.services) {
        if (hasContactAgain && protectsFlows(engine.settings.policy))
            service.synchronizer->desynchronize(context);
        service.synchronizer->handleMembers(context);
    }
    // Packet threads are let in last. Earlier, they would decide for some services by the tables from before the
    // silence, which the others may have left since.
    if (!engine.view->isolated)
        engine.awaitsContact.store(false, std::memory_order_release);
    return actions;
}

FlowActions FlowEngine::handle(BalancerId from, const FlowMessage& message, TimePoint now)
{
    FlowActions actions;
    const ChangeContext context = implementation_->context(now, actions);
    // A promise to somebody whom the view does not show would be taken for one to a dead arbiter, and dropped. The
    // sender repeats what matters until the view has caught up.
    if (!context.isAlive(from))
        return actions;
    const auto service = implementation_->services.find(ServiceId { message.service });
    if (service != implementation_->services.end())
        service->second.synchronizer->handle(from, message, context);
    implementation_->updateSynchronized();
    return actions;
}

FlowActions FlowEngine::tick(TimePoint now)
{
    FlowActions actions;
    Implementation& engine = *implementation_;
    engine.lastTick.store(now, std::memory_order_relaxed);
    if (engine.view->isolated)
        return actions;
    engine.budget.refill(now);
    const ChangeContext context = engine.context(now, actions);
    engine.bootstrapIfDue(context);
    engine.updateWeightFactors(context);
    for (auto& [id, service] : engine.services)
        service.synchronizer->tick(context);
    engine.updateSynchronized();
    engine.sweepIdleFlows(now);
    return actions;
}

bool FlowEngine::isSynchronized() const { return implementation_->synchronized; }

void FlowEngine::beginLeave()
{
    for (auto& [id, service] : implementation_->services)
        service.synchronizer->beginLeave();
}

bool FlowEngine::mayLeave() const
{
    return !protectsFlows(implementation_->settings.policy)
        || std::all_of(implementation_->services.begin(), implementation_->services.end(),
            [](const auto& service) { return service.second.synchronizer->mayLeave(); });
}

void FlowEngine::setHealth(ServiceId id, BackendServerId server, bool isHealthy, TimePoint now)
{
    const auto service = implementation_->services.find(id);
    if (service != implementation_->services.end())
        service->second.weights.setHealth(server, isHealthy, now);
}

bool FlowEngine::isArbiterOf(ServiceId id) const
{
    const ChangeContext context { *implementation_->view, implementation_->settings, implementation_->budget, {},
        implementation_->noActions };
    return context.arbiterOf(id) == implementation_->view->self;
}

BackendServerId FlowEngine::serverOfBucket(ServiceId id, std::uint32_t bucket) const
{
    const auto service = implementation_->services.find(id);
    if (service == implementation_->services.end())
        return {};
    const auto table = service->second.synchronizer->settledTable();
    return table ? table->at(bucket) : BackendServerId {};
}

FlowCounters FlowEngine::counters() const
{
    const FlowTrackingCounters& tracking = *implementation_->tracking;
    FlowCounters counters;
    counters.trackedFlows = tracking.tracked;
    counters.newFlows = tracking.newFlows;
    counters.untrackedNewFlows = tracking.untrackedNewFlows;
    counters.forwardedPackets = tracking.forwardedPackets;
    counters.exceptions = tracking.exceptions;
    for (const auto& [id, service] : implementation_->services) {
        counters.transitionsStarted += service.synchronizer->startedCount();
        counters.transitionsSettled += service.synchronizer->settledCount();
        counters.transitionsForced += service.synchronizer->forcedCount();
        counters.unsettledServices += service.synchronizer->isSettled() ? 0 : 1;
    }
    return counters;
}

void FlowEngine::Implementation::applyConfiguration(
    const Configuration& configuration, std::uint64_t newVersion, const ChangeContext& context)
{
    absl::flat_hash_set<ServiceId> present;
    for (const Service& service : configuration.services)
        present.insert(service.id);
    std::erase_if(services, [&](const auto& service) { return !present.contains(service.first); });

    GroupedServers grouped(configuration);
    for (const Service& service : configuration.services) {
        const std::vector<const BackendServer*>& servers = grouped.byService[service.id];
        ServiceControl& control = controlOf(service);
        TableDefinition source = tableDefinitionOf(settings.policy, service, servers);
        // An equal source stays the same object, by which unchanged services are told.
        if (!control.tableDefinition || source != *control.tableDefinition)
            control.tableDefinition = std::make_shared<TableDefinition>(std::move(source));
        control.directory = directoryOf(servers, grouped.usedAddresses, control.directory, context.now);
        control.flowIdle = std::chrono::seconds(service.flowIdleSeconds);
        control.weights.configure(service, servers, context.now);
        control.synchronizer->setVersion(newVersion, control.tableDefinition, control.directory, context);
    }
    publishIndex(configuration);
}

FlowEngine::Implementation::ServiceControl& FlowEngine::Implementation::controlOf(const Service& service)
{
    ServiceControl& control = services[service.id];
    if (!control.flows) {
        const bool protects = protectsFlows(settings.policy);
        control.flows = std::make_shared<ServiceFlows>(service.id, settings.shardsPerService, tracking, protects);
        control.synchronizer = std::make_unique<TableSynchronizer>(service.id, control.flows->table, protects);
    }
    return control;
}

std::shared_ptr<const ServerDirectory> FlowEngine::Implementation::directoryOf(
    const std::vector<const BackendServer*>& servers, const absl::flat_hash_set<Endpoint>& usedAddresses,
    const std::shared_ptr<const ServerDirectory>& previous, TimePoint now) const
{
    auto directory = std::make_shared<ServerDirectory>();
    for (const BackendServer* server : servers)
        directory->emplace(server->id, ServerRecord { server->flowAddress, server->state, std::nullopt });
    if (!previous)
        return directory;
    for (const auto& [id, record] : *previous) {
        const TimePoint retiredAt = record.retiredAt.value_or(now);
        // A removed server keeps its established flows, unless its address now belongs to another: then its old flows
        // would reach a server, perhaps of another service, that knows nothing of them.
        const bool keep = !directory->contains(id) && !usedAddresses.contains(record.flowAddress)
            && now - retiredAt < settings.retiredServerRetention;
        if (keep)
            directory->emplace(id, ServerRecord { record.flowAddress, BackendServerState::Draining, retiredAt });
    }
    return *directory == *previous ? previous : directory;
}

void FlowEngine::Implementation::publishIndex(const Configuration& configuration)
{
    auto map = std::make_shared<ServiceIndex::Map>();
    for (const Service& service : configuration.services)
        map->emplace(service.address, services.at(service.id).flows);
    index.publish(std::move(map));
}

void FlowEngine::Implementation::bootstrapIfDue(const ChangeContext& context)
{
    if (synchronized || services.empty() || !canBootstrap()) {
        noServingMemberSince.reset();
        return;
    }
    if (!noServingMemberSince)
        noServingMemberSince = context.now;
    if (context.now - *noServingMemberSince < settings.bootstrapWait)
        return;
    for (auto& [id, service] : services)
        service.synchronizer->settleAlone(context);
}

// Nobody who serves is in sight, and this balancer is the first of those that could begin.
bool FlowEngine::Implementation::canBootstrap() const
{
    // Before the first view nothing is known about the others; taking silence for solitude would contradict them.
    if (!protectsFlows(settings.policy) || !view->findSelf())
        return false;
    for (const Member& member : view->members) {
        if (member.state == MemberState::Serving && member.id != view->self)
            return false;
        if (member.state == MemberState::Joining && member.id < view->self)
            return false;
    }
    return true;
}

// The arbiter of a service says what its servers should get; all others stand by what was agreed, so that one of them
// that becomes the arbiter does not begin by undoing it.
void FlowEngine::Implementation::updateWeightFactors(const ChangeContext& context)
{
    const bool isDue = !weightFactorsUpdatedAt || context.now - *weightFactorsUpdatedAt >= settings.weightsInterval;
    if (!isDue || !protectsFlows(settings.policy))
        return;
    weightFactorsUpdatedAt = context.now;
    for (auto& [id, service] : services) {
        TableSynchronizer& synchronizer = *service.synchronizer;
        if (synchronizer.isArbiter(context))
            synchronizer.setDesiredFactors(service.weights.computeFactors(
                synchronizer.factors(), service.flows->table.activeFlowsByServer(), context.now));
        else
            synchronizer.setDesiredFactors(synchronizer.factors());
    }
}

void FlowEngine::Implementation::updateSynchronized()
{
    // Services that come later do not make this balancer a newcomer again.
    if (synchronized || services.empty())
        return;
    synchronized = std::all_of(services.begin(), services.end(),
        [](const auto& service) { return service.second.synchronizer->isSynchronized(); });
}

void FlowEngine::Implementation::sweepIdleFlows(TimePoint now)
{
    if (services.empty())
        return;
    std::size_t entries = 0;
    for (std::size_t step = 0; step < shardsSweptPerTick && entries < entriesSweptPerTick; ++step) {
        auto service = services.lower_bound(sweptService);
        if (service == services.end() || service->first != sweptService)
            sweptShard = 0;
        if (service == services.end())
            service = services.begin();
        sweptService = service->first;
        entries += service->second.flows->table.expire(sweptShard, service->second.flowIdle, now);
        if (++sweptShard < settings.shardsPerService)
            continue;
        sweptShard = 0;
        sweptService = ServiceId { sweptService.value + 1 };
    }
}

}
