#include "Forwarder/LoadReporter.h"

#include <algorithm>

namespace wisteriadock {

LoadReporter::LoadReporter(BalancerId self, const std::string& availabilityZone, std::uint64_t seed,
    LoadExchangeSettings settings, PeerSync& peerSync, TokenRouter& router, EventLog& log, ForwarderMetrics& metrics)
    : zone_(availabilityZone)
    , peerSync_(peerSync)
    , router_(router)
    , log_(log)
    , metrics_(metrics)
    , exchange_(
          self, availabilityZone, seed,
          [this](const std::string& service, const std::string& zone) { return slotsOf(service, zone); }, settings)
{
    peerSync_.setLoadHandler([this](const PeerEnvelope& envelope, TimePoint now) {
        exchange_.setView(peerSync_.view());
        perform(exchange_.handleMessage(envelope, now), now);
    });
}

void LoadReporter::tick(TimePoint now)
{
    if (now - slotsCountedAt_ >= slotLifetime) {
        slots_.clear();
        refused_.clear();
        slotsCountedAt_ = now;
    }
    exchange_.setView(peerSync_.view());
    if (exchange_.isDue(now))
        perform(exchange_.handleInterval(router_.takeObservedLoad(now), now), now);
    passLoads(now);
    updateMetrics(now);
}

void LoadReporter::passLoads(TimePoint now)
{
    std::set<std::string> former = std::exchange(services_, {});
    for (auto& [service, load] : exchange_.loads(now)) {
        services_.insert(service);
        former.erase(service);
        router_.setServiceLoad(service, std::move(load));
    }
    for (const std::string& service : former)
        router_.setServiceLoad(service, {});
}

std::uint32_t LoadReporter::slotsOf(const std::string& service, const std::string& zone)
{
    const auto [entry, isNew] = slots_.try_emplace({ service, zone }, 0);
    if (!isNew)
        return entry->second;
    for (const ServerGroup* group : router_.directory().groupsOf(service)) {
        if (group->availabilityZone != zone)
            continue;
        for (const KnownServer* server : group->members)
            entry->second += server->entry.slots;
    }
    return entry->second;
}

void LoadReporter::perform(const LoadActions& actions, TimePoint now)
{
    for (const LoadAction& action : actions) {
        if (const auto* message = std::get_if<SendLoadMessage>(&action)) {
            peerSync_.send(message->to, message->kind, *message->payload);
        } else if (const auto* changed = std::get_if<AggregatorChanged>(&action)) {
            log_.write(LogLevel::Info, "load", "aggregator",
                Event()
                    .add("former", changed->former ? nameOf(*changed->former) : "")
                    .add("current", changed->current ? nameOf(*changed->current) : ""),
                now);
        } else if (const auto* availability = std::get_if<DigestAvailabilityChanged>(&action)) {
            const ZoneLoad* digest = exchange_.digestOfZone(zone_, now);
            Event event;
            event.add("alive", exchange_.liveBalancers());
            if (digest)
                event.add("covered", digest->covered).add("aggregator", nameOf(digest->aggregator));
            log_.write(availability->isAvailable ? LogLevel::Info : LogLevel::Warning, "load",
                availability->isAvailable ? "digest_received" : "digest_lost", event, now);
        } else {
            logRefusedRows(std::get<LoadRowsRefused>(action), now);
        }
    }
}

void LoadReporter::logRefusedRows(const LoadRowsRefused& refused, TimePoint now)
{
    if (refused_.insert(refused.sender).second)
        log_.write(LogLevel::Warning, "load", "rows_refused",
            Event().add("sender", nameOf(refused.sender)).add("rows", std::uint64_t(refused.rows)), now);
}

std::string LoadReporter::nameOf(BalancerId id) const
{
    const Member* member = peerSync_.view()->find(id);
    return member ? member->name : "unknown";
}

void LoadReporter::updateMetrics(TimePoint now)
{
    const LoadExchange::Counts& counts = exchange_.counts();
    const ZoneLoad* digest = exchange_.digestOfZone(zone_, now);
    LoadReportMetrics values;
    values.reports = counts.reports;
    values.digests = counts.digests;
    values.ignored = counts.ignored;
    values.refusedRows = counts.refusedRows;
    values.isAggregator = exchange_.isAggregator();
    values.covered = digest ? digest->covered : 0;
    values.alive = exchange_.liveBalancers();
    metrics_.setLoadReports(values);
}

}
