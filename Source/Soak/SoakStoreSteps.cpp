// SoakRun: performs the steps of the plan that concern the store.
#include "Soak/SoakRun.h"

#include "platform/StoredValues.h"

#include <algorithm>
#include <string>

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
    case SoakStepKind::StoreMixed:
        // Stale listings are normal behaviour of the store and no disturbance: all bounds still apply.
        store_->setStaleReads(step.kind == SoakStepKind::StoreMixed ? SoakStore::StaleReads::SecondPages
                                                                    : SoakStore::StaleReads::AllPages);
        return scheduleAfter(step.length, now, [this] { store_->setStaleReads(SoakStore::StaleReads::None); });
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

}
