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

    // Limits of the sweep for idle flows per tick, so that the duration of a tick does not grow with the flows.
    constexpr std::size_t maxEntriesSweptPerTick = 8192;
    constexpr std::size_t maxShardsSweptPerTick = 64;

    // The backend servers of a configuration, grouped by service.
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
        TableDefinition definition { policy, service.id, service.evenness, {} };
        for (const BackendServer* server : servers) {
            if (server->state == BackendServerState::Active)
                definition.shares.push_back({ server->id, server->weight });
        }
        std::sort(definition.shares.begin(), definition.shares.end(),
            [](const ServerShare& a, const ServerShare& b) { return a.server < b.server; });
        return definition;
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
        auto emptyView = std::make_shared<MembersView>();
        emptyView->self = selfId;
        view = std::move(emptyView);
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
    // The next shard of the sweep for idle flows.
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
    // A process that resumes after a pause has packets in its socket but may have outdated tables and addresses, which
    // could send a flow to a server that other balancers no longer use for it, or to a reassigned address.
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
    // Packets are admitted only after all services have dropped their tables from before the isolation, since the other
    // balancers may have switched to other tables meanwhile.
    if (!engine.view->isolated)
        engine.awaitsContact.store(false, std::memory_order_release);
    return actions;
}

FlowActions FlowEngine::handle(BalancerId from, const FlowMessage& message, TimePoint now)
{
    FlowActions actions;
    const ChangeContext context = implementation_->context(now, actions);
    // A promise to a balancer that the view does not list would be dropped as one to a dead arbiter. The sender
    // retransmits until the view lists it.
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
        TableDefinition definition = tableDefinitionOf(settings.policy, service, servers);
        // An equal definition must stay the same object: TableSynchronizer detects changes by comparing pointers.
        if (!control.tableDefinition || definition != *control.tableDefinition)
            control.tableDefinition = std::make_shared<TableDefinition>(std::move(definition));
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
        // A removed server keeps its established flows, unless its address is now used by another server, which may
        // even belong to another service.
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

// Whether no other member serves and this balancer has the lowest id of the joining members.
bool FlowEngine::Implementation::canBootstrap() const
{
    // Before the first view, other balancers may be serving with other tables.
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

// Only the arbiter of a service computes new weight factors. The other balancers keep those of the settled table, so
// that a new arbiter does not start with a change of the factors.
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
    // Services that are added later do not reset the flag.
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
    for (std::size_t step = 0; step < maxShardsSweptPerTick && entries < maxEntriesSweptPerTick; ++step) {
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
