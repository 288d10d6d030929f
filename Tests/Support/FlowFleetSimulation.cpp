#include "Support/FlowFleetSimulation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wisteriadock {

namespace {

    constexpr std::chrono::milliseconds stepLength { 10 };
    constexpr std::chrono::milliseconds tickInterval { 50 };
    constexpr double packetsPerFlowAndStep = 0.02;
    constexpr std::uint32_t loopback = 0x7F000001;
    constexpr std::uint16_t firstFlowPort = 1000;

}

FlowFleetSimulation::FlowFleetSimulation(Options options)
    : options_(options)
    , random_(options_.seed)
{
    for (std::size_t i = 0; i < options_.balancers; ++i)
        addBalancer();
}

Duration FlowFleetSimulation::randomDelay(Duration maxDelay)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, maxDelay.count())(random_));
}

void FlowFleetSimulation::addBalancer()
{
    const std::size_t index = balancers_.size();
    Balancer balancer;
    balancer.member.name = "balancer-" + std::to_string(index);
    balancer.member.id = balancerIdOf(balancer.member.name);
    balancer.member.flowAddress = { loopback, static_cast<std::uint16_t>(firstFlowPort + index) };
    balancer.engine = std::make_unique<FlowEngine>(options_.settings, balancer.member.id, index);
    balancers_.push_back(std::move(balancer));
    scheduleViews();
    if (!configurations_.empty()) {
        events_.emplace(now() + randomDelay(options_.configurationDelay),
            Event { index, index, nullptr, nullptr, configurations_.back(), configurations_.size() });
    }
}

void FlowFleetSimulation::kill(std::size_t balancer)
{
    balancers_[balancer].isDead = true;
    balancers_[balancer].member.state = MemberState::Dead;
    scheduleViews();
}

void FlowFleetSimulation::announceLeaving(std::size_t balancer)
{
    balancers_[balancer].member.state = MemberState::Leaving;
    scheduleViews();
}

void FlowFleetSimulation::pause(std::size_t balancer, Duration length)
{
    balancers_[balancer].pausedUntil = now() + length;
    // As membership does: after a pause the balancer counts as isolated until another balancer responds.
    auto isolated = std::make_shared<MembersView>(*balancers_[balancer].view);
    isolated->isolated = true;
    isolated->revision = ++viewRevision_;
    events_.emplace(now() + length, Event { balancer, balancer, nullptr, isolated, nullptr, 0 });
    auto back = std::make_shared<MembersView>(*isolated);
    back->isolated = false;
    back->revision = ++viewRevision_;
    events_.emplace(now() + length + options_.viewDelay, Event { balancer, balancer, nullptr, back, nullptr, 0 });
}

bool FlowFleetSimulation::isUp(std::size_t balancer) const
{
    return !balancers_[balancer].isDead && balancers_[balancer].pausedUntil <= now();
}

std::size_t FlowFleetSimulation::randomBalancer()
{
    std::size_t balancer = 0;
    do
        balancer = std::uniform_int_distribution<std::size_t>(0, balancers_.size() - 1)(random_);
    while (!isUp(balancer));
    return balancer;
}

void FlowFleetSimulation::scheduleViews()
{
    MembersView view;
    view.revision = ++viewRevision_;
    for (const Balancer& balancer : balancers_)
        view.members.push_back(balancer.member);
    std::sort(view.members.begin(), view.members.end(), [](const Member& a, const Member& b) { return a.id < b.id; });
    for (std::size_t i = 0; i < balancers_.size(); ++i) {
        view.self = balancers_[i].member.id;
        const auto shared = std::make_shared<MembersView>(view);
        events_.emplace(now() + randomDelay(options_.viewDelay), Event { i, i, nullptr, shared, nullptr, 0 });
    }
}

void FlowFleetSimulation::apply(const Configuration& configuration)
{
    configurations_.push_back(std::make_shared<Configuration>(configuration));
    for (const BackendServer& server : configuration.backendServers) {
        if (server.state == BackendServerState::Active)
            drainingSince_.erase(server.id);
        else
            drainingSince_.try_emplace(server.id, now());
    }
    for (std::size_t i = 0; i < balancers_.size(); ++i) {
        events_.emplace(now() + randomDelay(options_.configurationDelay),
            Event { i, i, nullptr, nullptr, configurations_.back(), configurations_.size() });
    }
}

void FlowFleetSimulation::perform(std::size_t balancer, const FlowActions& actions)
{
    for (const SendFlowMessage& action : actions) {
        const auto to = std::find_if(balancers_.begin(), balancers_.end(),
            [&](const Balancer& candidate) { return candidate.member.id == action.to; });
        const auto toIndex = static_cast<std::size_t>(to - balancers_.begin());
        ++messagesSent_;
        const bool lost = std::bernoulli_distribution(options_.messageLoss)(random_);
        if (to == balancers_.end() || lost || cuts_.contains({ balancer, toIndex }))
            continue;
        events_.emplace(now() + randomDelay(options_.messageDelay),
            Event { toIndex, balancer, std::make_shared<FlowMessage>(action.message), nullptr, nullptr, 0 });
    }
}

void FlowFleetSimulation::deliverDue()
{
    while (!events_.empty() && events_.begin()->first <= now()) {
        const Event event = events_.begin()->second;
        events_.erase(events_.begin());
        Balancer& balancer = balancers_[event.balancer];
        if (balancer.isDead)
            continue;
        if (balancer.pausedUntil > now()) {
            events_.emplace(balancer.pausedUntil, event);
            continue;
        }
        FlowEngine& engine = *balancer.engine;
        if (event.message)
            perform(event.balancer, engine.handle(balancers_[event.from].member.id, *event.message, now()));
        if (event.configuration)
            perform(event.balancer, engine.applyConfiguration(event.configuration, event.version, now()));
        const bool isNewer = event.view && (!balancer.view || event.view->revision > balancer.view->revision);
        if (isNewer) {
            balancer.view = event.view;
            perform(event.balancer, engine.applyMembers(event.view, now()));
        }
    }
}

void FlowFleetSimulation::updateStates()
{
    bool changed = false;
    for (Balancer& balancer : balancers_) {
        if (balancer.member.state != MemberState::Joining || !balancer.engine->isSynchronized())
            continue;
        balancer.member.state = MemberState::Serving;
        changed = true;
    }
    if (changed)
        scheduleViews();
}

void FlowFleetSimulation::step(double newFlowsPerSecond)
{
    clock_.advance(stepLength);
    deliverDue();
    if (now().time_since_epoch() % tickInterval == Duration::zero()) {
        for (std::size_t i = 0; i < balancers_.size(); ++i) {
            if (isUp(i))
                perform(i, balancers_[i].engine->tick(now()));
        }
        updateStates();
    }
    if (newFlowsPerSecond <= 0)
        return;
    fractionalNewFlows_ += newFlowsPerSecond * std::chrono::duration<double>(stepLength).count();
    const std::vector<Service>& services = configurations_.back()->services;
    for (; fractionalNewFlows_ >= 1; --fractionalNewFlows_)
        openFlow(services[std::uniform_int_distribution<std::size_t>(0, services.size() - 1)(random_)]);
    const auto packets = static_cast<std::size_t>(double(flows_.size()) * packetsPerFlowAndStep);
    for (std::size_t i = 0; i < packets; ++i)
        sendPacket(std::uniform_int_distribution<std::size_t>(0, flows_.size() - 1)(random_));
}

void FlowFleetSimulation::run(Duration length, double newFlowsPerSecond)
{
    const TimePoint end = now() + length;
    while (now() < end)
        step(newFlowsPerSecond);
}

bool FlowFleetSimulation::isSettled() const
{
    return std::all_of(balancers_.begin(), balancers_.end(), [](const Balancer& balancer) {
        return balancer.isDead
            || (balancer.engine->isSynchronized() && balancer.engine->counters().unsettledServices == 0);
    });
}

bool FlowFleetSimulation::runUntilSettled(Duration limit, double newFlowsPerSecond)
{
    const TimePoint end = now() + limit;
    // Runs at least as long as a change takes to reach every balancer.
    run(std::max<Duration>(options_.configurationDelay, options_.viewDelay) + stepLength, newFlowsPerSecond);
    while (!isSettled() && now() < end)
        step(newFlowsPerSecond);
    return isSettled();
}

BackendServerId FlowFleetSimulation::route(const Flow& flow)
{
    constexpr int maxAttempts = 4;
    FlowPacket packet { flow.client, flow.serviceAddress, {}, 0, false };
    std::size_t balancer = randomBalancer();
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const RouteDecision decision = balancers_[balancer].engine->route(packet, now());
        if (decision.kind == RouteKind::ToBackendServer)
            return decision.backendServer;
        if (decision.kind == RouteKind::Drop)
            break;
        ++outcome_.forwardedPackets;
        packet.forwardedBy = balancers_[balancer].member.id;
        ++packet.hops;
        balancer = decision.destination.port - firstFlowPort;
        if (!isUp(balancer))
            break;
    }
    ++outcome_.droppedPackets;
    return {};
}

std::size_t FlowFleetSimulation::openFlow(const Service& service)
{
    constexpr std::uint32_t firstClient = 0x0A000000;
    constexpr std::uint16_t clientPort = 40000;
    const auto index = flows_.size();
    flows_.push_back(
        { { firstClient + static_cast<std::uint32_t>(index), clientPort }, service.address, service.id, {}, false });
    ++outcome_.flows;
    sendPacket(index);
    return index;
}

BackendServerId FlowFleetSimulation::sendPacket(std::size_t flow)
{
    const BackendServerId server = route(flows_[flow]);
    if (server.value != 0)
        checkServer(flows_[flow], server);
    return server;
}

void FlowFleetSimulation::checkServer(Flow& flow, BackendServerId server)
{
    const bool ownService = std::any_of(configurations_.begin(), configurations_.end(), [&](const auto& configuration) {
        return std::any_of(configuration->backendServers.begin(), configuration->backendServers.end(),
            [&](const BackendServer& known) { return known.id == server && known.service == flow.service; });
    });
    if (!ownService)
        ++outcome_.wrongServicePackets;
    if (flow.server.value == 0) {
        flow.server = server;
        ++newFlowsByServer_[server];
        const auto draining = drainingSince_.find(server);
        if (draining != drainingSince_.end() && now() - draining->second > drainingGracePeriod)
            ++outcome_.newFlowsToDraining;
        return;
    }
    if (flow.server == server || flow.isBroken)
        return;
    flow.isBroken = true;
    ++outcome_.brokenFlows;
}

Configuration makeConfiguration(const std::vector<std::pair<std::string, std::size_t>>& serversByService)
{
    constexpr std::uint32_t serviceNetwork = 0xC6336400;
    constexpr std::uint16_t servicePort = 443;
    constexpr std::uint16_t serverPort = 20000;
    Configuration configuration;
    std::uint32_t serverCount = 0;
    for (const auto& [name, servers] : serversByService) {
        Service service;
        service.name = name;
        service.id = serviceIdOf(name);
        service.address = { serviceNetwork + static_cast<std::uint32_t>(configuration.services.size()), servicePort };
        configuration.services.push_back(service);
        for (std::size_t i = 0; i < servers; ++i) {
            BackendServer server;
            server.name = name + "-" + std::to_string(i);
            server.id = backendServerIdOf(server.name);
            server.service = service.id;
            server.flowAddress = { loopback + ++serverCount, serverPort };
            configuration.backendServers.push_back(server);
        }
    }
    return configuration;
}

BackendServer& serverNamed(Configuration& configuration, const std::string& name)
{
    return *std::find_if(configuration.backendServers.begin(), configuration.backendServers.end(),
        [&](const BackendServer& server) { return server.name == name; });
}

}
