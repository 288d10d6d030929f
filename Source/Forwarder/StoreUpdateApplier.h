#pragma once

#include "Forward/TokenRouter.h"
#include "Forwarder/ForwarderLog.h"
#include "Forwarder/ForwarderMetrics.h"
#include "StoreSync/CompressedValue.h"
#include "StoreSync/ReplicaSync.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace wisteriadock {

// Decodes updates of the store and applies them to TokenRouter. Forwarder calls it for each change of the replica. A
// value that can't be read is rejected, logged and counted, and the other updates are still applied: the last valid
// configuration stays in force, and an invalid entry of a server names no usable server.
template <typename Adapter> class StoreUpdateApplier {
public:
    StoreUpdateApplier(TokenRouter& router, ForwarderLog& log, ForwarderMetrics& metrics)
        : router_(router)
        , log_(log)
        , metrics_(metrics)
    {
    }

    void apply(const ReplicaChanged& changed, TimePoint now)
    {
        metrics_.countUpdates(changed.source, changed.items.size());
        log_.updates(changed, now);
        ServerDirectory::Transitions transitions;
        for (const StoreUpdate& item : changed.items) {
            if (item.key == Adapter::configurationKey)
                std::ranges::move(applyConfiguration(item, changed, now), std::back_inserter(transitions));
            else if (const auto zone = Adapter::evacuatedZoneOf(item.key))
                applyZoneEvacuation(*zone, item, changed, now);
            else if (const auto id = Adapter::serverIdOf(item.key))
                std::ranges::move(applyServer(*id, item, changed, now), std::back_inserter(transitions));
        }
        log_.transitions(transitions, changed.revision, changed.source, now);
        log_.entryConflicts(router_.directory().takeConflicts(), now);
    }

    // Whether the balancers of the zone need the update to serve their callers: all but the entries of servers that are
    // of other zones or unusable.
    bool isOfZone(const std::string& availabilityZone, const StoreUpdate& update)
    {
        const auto id = Adapter::serverIdOf(update.key);
        const KnownServer* server = id ? router_.directory().find(*id) : nullptr;
        return !id || (server && server->entry.availabilityZone == availabilityZone);
    }

private:
    // Returns the transitions of servers whose entries name a service that was not named before.
    ServerDirectory::Transitions applyConfiguration(
        const StoreUpdate& item, const ReplicaChanged& changed, TimePoint now)
    {
        // Operators replace the configuration and never remove it, and without one no packet could be routed.
        if (item.isRemoved)
            return rejectConfiguration(
                item, { ErrorCode::NotFound, "the configuration was removed; the last one stays" }, now);
        // The replica has decompressed every value that can be decompressed.
        if (item.isCompressed)
            return rejectConfiguration(item, plainValue(item).error(), now);
        Result<ConfigurationChange> change = reader_.read(item.value);
        if (!change)
            return rejectConfiguration(item, change.error(), now);
        ReceivedConfiguration received;
        received.version = change.value().version;
        received.routes = change.value().total;
        received.changedRoutes = change.value().routes.size() + change.value().removed.size();
        received.isApplied = router_.applyConfiguration(std::move(change).value());
        if (!received.isApplied)
            reader_.reset();
        received.revision = item.revision;
        received.age = std::chrono::milliseconds(item.ageMilliseconds);
        received.applyTime = Clock::now() - now;
        log_.configuration(received, changed, now);
        if (received.isApplied)
            metrics_.observeConfiguration(received.age + received.applyTime, received.applyTime);
        return router_.reviewEntries(now);
    }

    ServerDirectory::Transitions rejectConfiguration(const StoreUpdate& item, const Error& error, TimePoint now)
    {
        reject(item, error, now);
        return {};
    }

    // A zone is evacuated while its key exists. The value is ignored, so it need not be readable.
    void applyZoneEvacuation(
        const std::string& zone, const StoreUpdate& item, const ReplicaChanged& changed, TimePoint now)
    {
        if (changed.entersEra)
            return router_.setZoneEvacuationInDoubt(zone, !item.isRemoved, item.revision, now);
        const auto change = router_.setZoneEvacuation(zone, !item.isRemoved, item.revision, now);
        if (change)
            log_.zoneEvacuation(*change, std::chrono::milliseconds(item.ageMilliseconds), changed.source, now);
    }

    ServerDirectory::Transitions applyServer(
        const std::string& id, const StoreUpdate& item, const ReplicaChanged& changed, TimePoint now)
    {
        if (item.isRemoved)
            return router_.removeServer(id, changed.isInDoubt, now);
        const auto server = readServer(id, item);
        if (!server) {
            reject(item, server.error(), now);
            return router_.invalidateServer(id, item.revision, now);
        }
        const EntryAge age = changed.entersEra ? EntryAge::Past : EntryAge::Newest;
        return router_.putServer(server.value(), item.revision, now, age);
    }

    Result<RegisteredServer> readServer(const std::string& id, const StoreUpdate& item)
    {
        if (item.isCompressed)
            return plainValue(item).error();
        return Adapter::decodeServer(id, item.value);
    }

    void reject(const StoreUpdate& item, const Error& error, TimePoint now)
    {
        metrics_.countRejectedUpdate();
        log_.rejectedUpdate(item.key, error, now);
    }

    TokenRouter& router_;
    typename Adapter::ConfigurationReader reader_;
    ForwarderLog& log_;
    ForwarderMetrics& metrics_;
};

}
