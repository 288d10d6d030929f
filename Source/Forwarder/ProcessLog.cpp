#include "Forwarder/ProcessLog.h"

#include "BuildInfo/BuildInfo.h"
#include "KeyValue/StoreRevision.h"

namespace wisteriadock {

void ProcessLog::started(const ForwarderSettings& settings, TimePoint now)
{
    log_.write(LogLevel::Info, "process", "started",
        Event()
            .add("version", WISTERIADOCK_VERSION)
            .add("sources", sourceDigest())
            .add("flow", settings.flow.toString())
            .add("peer", settings.peer.toString())
            .add("store", settings.store.toString())
            .add("seeds", std::uint64_t(settings.seeds.size())),
        now);
}

void ProcessLog::ready(
    const ReplicaChanged& last, std::uint64_t configurationVersion, std::size_t servers, TimePoint now)
{
    log_.write(LogLevel::Info, "process", "ready",
        Event()
            .add("after_ms", now - startedAt_)
            .add("configuration_version", configurationVersion)
            .add("revision", storeRevisionOf(last.revision))
            .add("era", eraOf(last.revision))
            .add("servers", std::uint64_t(servers))
            .add("source", last.source),
        now);
}

void ProcessLog::stopping(const ForwarderSettings& settings, TimePoint now)
{
    log_.write(LogLevel::Info, "process", "stopping", Event().add("grace_ms", Duration(settings.grace)), now);
}

void ProcessLog::stopped(TimePoint now)
{
    log_.write(LogLevel::Info, "process", "stopped", Event().add("ran_ms", now - startedAt_), now);
}

void ProcessLog::withoutMetrics(const Error& error, TimePoint now)
{
    log_.write(LogLevel::Warning, "process", "without_metrics", Event().add("error", error.toString()), now);
}

void ProcessLog::listingEnded(const ListingEnded& listing, TimePoint now)
{
    log_.write(LogLevel::Info, "store", listing.isComplete ? "listed" : "listing_left",
        Event()
            .add("pages", std::uint64_t(listing.pages))
            .add("entries", std::uint64_t(listing.entries))
            .add("after_ms", listing.took)
            .add("revision", listing.revision)
            .add("era", listing.era)
            .add("held_revision", listing.heldRevision),
        now);
}

void ProcessLog::storeEraChanged(const StoreEraChanged& change, TimePoint now)
{
    log_.write(LogLevel::Warning, "store", "era_changed",
        Event()
            .add("former_era", change.formerEra)
            .add("era", change.era)
            .add("revision", change.revision)
            .add("held_revision", change.heldRevision),
        now);
}

void ProcessLog::storeUnreachable(const StoreUnreachable& lost, TimePoint now)
{
    log_.write(LogLevel::Warning, "store", "lost", Event().add("error", lost.error.toString()), now);
}

void ProcessLog::storeReachable(const StoreReachable& regained, TimePoint now)
{
    log_.write(LogLevel::Info, "store", "regained", Event().add("away_ms", regained.outage), now);
}

}
