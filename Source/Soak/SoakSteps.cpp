// SoakRun: performs the steps of the plan.
#include "Soak/SoakRun.h"

#include "platform/StoredValues.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <string>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // A server's entry expires after three heartbeats.
    constexpr auto heartbeat = 700ms;

    // Of a restore: how long the store is away, after which time what it lost is written again, and how many versions
    // of the configuration it loses.
    constexpr auto restoreOutage = 300ms;
    constexpr auto rewriteDelay = 400ms;
    constexpr int lostVersions = 6;

    constexpr const char* evacuationOrder = "{}";

}

void SoakRun::performStep(const SoakStep& step, TimePoint now)
{
    switch (step.kind) {
    case SoakStepKind::KillBalancer:
    case SoakStepKind::StopBalancer:
    case SoakStepKind::PauseBalancer:
    case SoakStepKind::ReloadBalancer:
    case SoakStepKind::StoreUnreachable:
    case SoakStepKind::StoreResets:
    case SoakStepKind::StoreOneWay:
    case SoakStepKind::PacketsLost:
    case SoakStepKind::PacketsDuplicated:
    case SoakStepKind::PacketsReordered:
        return performOnBalancer(step, balancers_[step.target % balancers_.size()], now);
    case SoakStepKind::KillAll:
        checker_.disturbAll(now + step.length);
        for (Balancer& balancer : balancers_)
            kill(balancer, now + step.length);
        checker_.noteAllRestarted(now + step.length);
        return;
    case SoakStepKind::StoreBusy:
    case SoakStepKind::StoreUnresponsive:
    case SoakStepKind::StoreSlow:
    case SoakStepKind::StoreHistoryCompacted:
    case SoakStepKind::StoreEntriesExpire:
    case SoakStepKind::StoreStale:
        return performOnStore(step, now);
    case SoakStepKind::StoreRestored:
        return restoreStore(step, now);
    case SoakStepKind::ServerCrashes:
    case SoakStepKind::ServerDrains:
    case SoakStepKind::ServerReplacedInPlace:
    case SoakStepKind::ServerFull:
    case SoakStepKind::ServerUnresponsive:
    case SoakStepKind::ServerResets:
    case SoakStepKind::ServerRestarts:
        return performOnServer(step, now);
    case SoakStepKind::ForeignEntries:
        return writeForeignEntries(step, now);
    case SoakStepKind::ZoneEvacuated:
        return evacuateZone(step, now);
    case SoakStepKind::ZoneServersRestart:
        return restartZoneServers(step, now);
    case SoakStepKind::RouteAdded:
    case SoakStepKind::RouteRemoved:
    case SoakStepKind::ConfigurationBurst:
        return performOnConfiguration(step, now);
    }
}

void SoakRun::kill(Balancer& balancer, TimePoint restartAt)
{
    if (balancer.process)
        balancer.process->signal(SIGKILL);
    balancer.isExitExpected = true;
    balancer.isStopping = false;
    balancer.resumeAt.reset();
    balancer.restartAt = restartAt;
}

void SoakRun::performOnBalancer(const SoakStep& step, Balancer& balancer, TimePoint now)
{
    FaultSettings faults;
    switch (step.kind) {
    case SoakStepKind::KillBalancer:
        checker_.disturb(balancer.name, now + step.length);
        return kill(balancer, now + step.length);
    case SoakStepKind::StopBalancer:
        checker_.disturb(balancer.name, now + stopGracePeriod);
        if (!balancer.process || balancer.isExitExpected || balancer.resumeAt)
            return;
        balancer.process->signal(SIGTERM);
        balancer.isExitExpected = true;
        balancer.isStopping = true;
        return;
    case SoakStepKind::PauseBalancer:
        checker_.disturb(balancer.name, now + step.length);
        if (!balancer.process || balancer.isExitExpected)
            return;
        balancer.process->signal(SIGSTOP);
        balancer.resumeAt = now + step.length;
        return;
    case SoakStepKind::ReloadBalancer:
        (void)writeSettings(balancer);
        if (balancer.process && !balancer.isExitExpected)
            balancer.process->signal(SIGHUP);
        return;
    case SoakStepKind::StoreUnreachable:
        faults.cut = true;
        checker_.disturb(balancer.name, now + step.length);
        return setLinkFaults(balancer.storeLink, faults, true, step.length, now);
    case SoakStepKind::StoreResets:
        faults.cut = true;
        faults.reset = true;
        checker_.disturb(balancer.name, now + step.length);
        return setLinkFaults(balancer.storeLink, faults, true, step.length, now);
    case SoakStepKind::StoreOneWay:
        faults.cut = true;
        checker_.disturb(balancer.name, now + step.length);
        return setLinkFaults(balancer.storeLink, faults, false, step.length, now);
    case SoakStepKind::PacketsLost:
        faults.loss = 0.2;
        break;
    case SoakStepKind::PacketsDuplicated:
        faults.duplicate = 0.5;
        break;
    default:
        faults.reorder = 0.3;
        faults.jitter = 20ms;
        break;
    }
    checker_.disturb(balancer.name, now + step.length);
    setLinkFaults(balancer.packetLink, faults, true, step.length, now);
}

void SoakRun::setLinkFaults(const std::string& link, const FaultSettings& faults, bool bothWays,
    std::chrono::milliseconds length, TimePoint now)
{
    proxy_.setFaults({ link }, Direction::ToSource, faults);
    if (bothWays)
        proxy_.setFaults({ link }, Direction::ToTarget, faults);
    scheduleAfter(length, now, [this, link] {
        proxy_.setFaults({ link }, Direction::ToSource, {});
        proxy_.setFaults({ link }, Direction::ToTarget, {});
    });
}

void SoakRun::setStoreFault(SoakStore::Fault fault, std::chrono::milliseconds length, TimePoint now)
{
    checker_.disturbStore(now + length);
    store_->setFault(fault);
    scheduleAfter(length, now, [this] { store_->setFault(SoakStore::Fault::None); });
}

void SoakRun::performOnStore(const SoakStep& step, TimePoint now)
{
    switch (step.kind) {
    case SoakStepKind::StoreBusy:
        return setStoreFault(SoakStore::Fault::Busy, step.length, now);
    case SoakStepKind::StoreUnresponsive:
        return setStoreFault(SoakStore::Fault::Unresponsive, step.length, now);
    case SoakStepKind::StoreSlow:
        return setStoreFault(SoakStore::Fault::Slow, step.length, now);
    case SoakStepKind::StoreHistoryCompacted:
        store_->compactHistory();
        return checker_.disturbStore(now);
    case SoakStepKind::StoreStale:
        // Stale listings are normal behaviour of the store and no disturbance: all bounds still apply.
        store_->setStaleReads(true);
        return scheduleAfter(step.length, now, [this] { store_->setStaleReads(false); });
    default:
        break;
    }
    setStoreFault(SoakStore::Fault::Busy, step.length, now);
    for (std::size_t i = 0; i < servers_.size(); i += 3) {
        const std::string id = servers_[i]->entry().id;
        scheduleAfter(step.length / 2, now, [this, id] { store_->remove(platform::serverKeyOf(id)); });
        scheduleAfter(step.length + 1500ms, now, [this, id] { withServer(id, [this](auto& it) { writeEntry(it); }); });
    }
    checker_.disturbStore(now + step.length + 1500ms);
}

// Versions written after the copy was made are lost, so that the store gives out their revisions again.
void SoakRun::restoreStore(const SoakStep& step, TimePoint now)
{
    const auto waiting = step.target % 2 == 0 ? SoakStore::WaitingWatches::Cut : SoakStore::WaitingWatches::Kept;
    for (int i = 1; i <= lostVersions; ++i)
        scheduleAfter(step.length * i / (lostVersions + 1), now, [this] { writeNextVersion(); });
    scheduleAfter(step.length, now, [this] { setStoreFault(SoakStore::Fault::Busy, restoreOutage, Clock::now()); });
    scheduleAfter(
        step.length + restoreOutage, now, [this, waiting, copy = store_->copy()] { store_->restore(copy, waiting); });
    scheduleAfter(step.length + restoreOutage + rewriteDelay, now, [this] { rewriteStore(); });
    // Entries of servers that ended meanwhile expire.
    scheduleAfter(step.length + restoreOutage + 3 * heartbeat, now, [this] { removeEndedServers(); });
    checker_.disturbStore(now + step.length + restoreOutage + 3 * heartbeat);
}

// Operators and servers write what the store does not hold, as after each of their checks.
void SoakRun::rewriteStore()
{
    const auto rewrite = [this](const std::string& key, const std::string& value) {
        if (!store_->holds(key, value))
            store_->put(key, value);
    };
    rewrite(std::string(platform::configurationKey), platform::encodeConfiguration(configuration_));
    for (const auto& server : servers_)
        rewrite(platform::serverKeyOf(server->entry().id), platform::encodeServer(server->entry()));
    for (std::size_t zone = 0; zone < options_.availabilityZones; ++zone) {
        const std::string key = platform::evacuatedZoneKeyOf(zoneName(zone));
        if (evacuatedZones_.contains(zoneName(zone)))
            rewrite(key, evacuationOrder);
        else
            store_->remove(key);
    }
}

void SoakRun::removeEndedServers()
{
    const SoakStore::Copy present = store_->copy();
    for (const auto& [key, item] : present.items) {
        const auto id = platform::serverIdOf(key);
        const bool isLive
            = id && std::ranges::any_of(servers_, [&](const auto& server) { return server->entry().id == *id; });
        if (id && !isLive)
            store_->remove(key);
    }
}

void SoakRun::withServer(const std::string& id, const std::function<void(SoakServer&)>& action)
{
    for (const auto& server : servers_) {
        if (server->entry().id == id)
            action(*server);
    }
}

void SoakRun::crashServer(std::size_t index, TimePoint now)
{
    const std::string id = servers_[index]->entry().id;
    servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(index));
    scheduleAfter(3 * heartbeat, now, [this, id] {
        store_->remove(platform::serverKeyOf(id));
        checker_.noteServerDraining(id, Clock::now());
    });
}

void SoakRun::performOnServer(const SoakStep& step, TimePoint now)
{
    const std::size_t index = step.target % servers_.size();
    SoakServer& server = *servers_[index];
    const RegisteredServer entry = server.entry();
    switch (step.kind) {
    case SoakStepKind::ServerFull:
        server.setFull(true);
        return scheduleAfter(
            step.length, now, [this, id = entry.id] { withServer(id, [](auto& it) { it.setFull(false); }); });
    case SoakStepKind::ServerUnresponsive:
    case SoakStepKind::ServerResets:
        server.setRequestBehaviour(step.kind == SoakStepKind::ServerUnresponsive ? SoakServer::RequestBehaviour::Ignore
                                                                                 : SoakServer::RequestBehaviour::Reset);
        return scheduleAfter(step.length, now, [this, id = entry.id] {
            withServer(id, [](auto& it) { it.setRequestBehaviour(SoakServer::RequestBehaviour::Respond); });
        });
    case SoakStepKind::ServerCrashes:
        crashServer(index, now);
        return scheduleAfter(
            step.length + 2s, now, [this, entry] { openServer(entry.service, entry.availabilityZone, entry.address); });
    case SoakStepKind::ServerRestarts: {
        servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(index));
        constexpr auto longestDown = 3 * heartbeat;
        return scheduleAfter(std::min<std::chrono::milliseconds>(step.length, longestDown), now, [this, entry] {
            RegisteredServer restarted = entry;
            restarted.startedAt = ++lastStartNumber_;
            restarted.readiness = ServerReadiness::Ready;
            openServer(restarted);
            checker_.noteServerRestarted(restarted.id);
        });
    }
    case SoakStepKind::ServerReplacedInPlace:
        crashServer(index, now);
        // The platform may assign an address to another service after two seconds.
        return scheduleAfter(2s, now, [this, entry] {
            openServer(entry.service == services[0] ? services[1] : services[0], entry.availabilityZone, entry.address);
            // Replaces the lost server at another address.
            openServer(entry.service, entry.availabilityZone, { entry.address.address + 50, entry.address.port });
        });
    default:
        break;
    }
    server.drain();
    writeEntry(server);
    checker_.noteServerDraining(entry.id, now);
    openServer(entry.service, entry.availabilityZone, { entry.address.address + 100, entry.address.port });
    scheduleAfter(5s, now, [this, id = entry.id] {
        std::erase_if(servers_, [&](const auto& other) { return other->entry().id == id; });
        store_->remove(platform::serverKeyOf(id));
    });
}

// Writes values that are not server entries, which balancers must ignore without affecting the other entries.
void SoakRun::writeForeignEntries(const SoakStep& step, TimePoint now)
{
    const std::vector<std::string> values = platform::invalidServerEntries();
    for (std::size_t i = 0; i < values.size(); ++i) {
        const std::string key = platform::serverKeyOf(fmt::format("foreign-{:x}", i + 1));
        store_->put(key, values[i]);
        scheduleAfter(step.length, now, [this, key] { store_->remove(key); });
    }
    const std::string id = servers_[step.target % servers_.size()]->entry().id;
    store_->put(platform::serverKeyOf(id), values[step.target % values.size()]);
    scheduleAfter(step.length, now, [this, id] { withServer(id, [this](auto& it) { writeEntry(it); }); });
}

std::string SoakRun::zoneOf(const SoakStep& step) const { return zoneName(step.target % options_.availabilityZones); }

// The evacuation lasts longer than its bound, so that the checker sees openings after the bound.
void SoakRun::evacuateZone(const SoakStep& step, TimePoint now)
{
    constexpr auto timeBeyondBound = 4s;
    const std::string zone = zoneOf(step);
    const std::string key = platform::evacuatedZoneKeyOf(zone);
    store_->put(key, evacuationOrder);
    evacuatedZones_.insert(zone);
    checker_.noteZoneEvacuated(zone, now);
    scheduleAfter(step.length + timeBeyondBound, now, [this, zone, key] {
        checker_.noteEvacuationRevoked(zone);
        evacuatedZones_.erase(zone);
        store_->remove(key);
    });
}

void SoakRun::restartZoneServers(const SoakStep& step, TimePoint now)
{
    std::vector<RegisteredServer> ended;
    std::erase_if(servers_, [&](const auto& server) {
        const bool isInZone = server->entry().availabilityZone == zoneOf(step);
        if (isInZone)
            ended.push_back(server->entry());
        return isInZone;
    });
    scheduleAfter(step.length, now, [this, ended] {
        for (RegisteredServer entry : ended) {
            entry.startedAt = ++lastStartNumber_;
            entry.readiness = ServerReadiness::Ready;
            entry.warmupLeft = 2s;
            openServer(entry);
            checker_.noteServerRestarted(entry.id);
        }
    });
}

void SoakRun::writeNextVersion()
{
    configuration_.version += 1 + random_.next() % 5;
    writeConfiguration();
}

void SoakRun::performOnConfiguration(const SoakStep& step, TimePoint now)
{
    constexpr std::size_t minRoutes = 3;
    constexpr int versionsPerBurst = 8;
    const auto write = [this] { writeNextVersion(); };
    switch (step.kind) {
    case SoakStepKind::RouteAdded:
        ++nextRoute_;
        configuration_.routes.push_back(
            { fmt::format("route-{}", nextRoute_), routeOf(nextRoute_), { { services[step.target % 2], 1 } } });
        return write();
    case SoakStepKind::RouteRemoved:
        if (configuration_.routes.size() > minRoutes)
            configuration_.routes.erase(configuration_.routes.begin()
                + static_cast<std::ptrdiff_t>(step.target % configuration_.routes.size()));
        return write();
    default:
        for (int i = 0; i < versionsPerBurst; ++i)
            scheduleAfter(i * 150ms, now, write);
        return;
    }
}

}
