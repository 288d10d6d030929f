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

    constexpr const char* evacuationOrder = "{}";

    // Of entries of another writer; no configuration names it.
    constexpr const char* unnamedService = "elsewhere";

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
    case SoakStepKind::StoreMixed:
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
    case SoakStepKind::LiveServerCopied:
        return copyLiveServer(step, now);
    case SoakStepKind::LiveServerOverwritten:
        return overwriteLiveServer(step, now);
    case SoakStepKind::KillMost:
        return killMost(step, now);
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
    checker_.noteServerLeaving(id);
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
        checker_.noteServerLeaving(entry.id);
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
    scheduleAfter(std::max<std::chrono::milliseconds>(step.length, 5s), now, [this, id = entry.id] {
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

// Guards against entries that end or replace a live server although no configuration names their service.
void SoakRun::copyLiveServer(const SoakStep& step, TimePoint now)
{
    RegisteredServer copied = servers_[step.target % servers_.size()]->entry();
    copied.number = ++nextServerNumber_ * 0x9E3779B1;
    copied.id = fmt::format("i-{:012x}", copied.number);
    copied.startedAt = ++lastStartNumber_;
    copied.service = unnamedService;
    const std::string key = platform::serverKeyOf(copied.id);
    store_->put(key, platform::encodeServer(copied));
    scheduleAfter(step.length, now, [this, key] { store_->remove(key); });
}

// Guards against a server that stays out of use, or is used for another service, after another writer overwrote its
// entry: with a later start and an unnamed service, or without a start and with another service of the configuration.
void SoakRun::overwriteLiveServer(const SoakStep& step, TimePoint now)
{
    const RegisteredServer own = servers_[step.target % servers_.size()]->entry();
    RegisteredServer foreign = own;
    foreign.startedAt = step.target % 2 == 0 ? ++lastStartNumber_ : 0;
    foreign.service = step.target % 2 == 0 ? unnamedService : services[own.service == services[0] ? 1 : 0];
    store_->put(platform::serverKeyOf(own.id), platform::encodeServer(foreign));
    scheduleAfter(heartbeat, now, [this, own] {
        withServer(own.id, [&](const SoakServer& server) {
            writeEntry(server);
            // Another process may have the id by now.
            if (server.entry().startedAt == own.startedAt)
                checker_.noteEntryRewritten(own.id, own.availabilityZone, Clock::now());
        });
    });
}

// Guards against a fleet in which nobody reads the store any more: the two that are left were just added, and may not
// watch the store yet.
void SoakRun::killMost(const SoakStep& step, TimePoint now)
{
    constexpr auto restartDelay = 200ms;
    const std::size_t first = step.target % balancers_.size();
    const std::size_t second = (first + options_.balancersPerZone) % balancers_.size();
    for (const std::size_t added : { first, second })
        kill(balancers_[added], now + restartDelay);
    scheduleAfter(killMostDelay, now, [this, first, second, length = step.length] {
        const TimePoint restartAt = Clock::now() + length;
        for (std::size_t i = 0; i < balancers_.size(); ++i) {
            if (i == first || i == second)
                continue;
            checker_.disturb(balancers_[i].name, restartAt);
            if (restartAt >= startedAt_ + plan_.length)
                checker_.noteSwitchedOff(balancers_[i].name);
            kill(balancers_[i], restartAt);
        }
    });
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
        if (isInZone) {
            ended.push_back(server->entry());
            checker_.noteServerLeaving(server->entry().id);
        }
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
