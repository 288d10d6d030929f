#include "Forwarder/ForwarderMetrics.h"

#include "KeyValue/StoreRevision.h"
#include "MetricsText/MetricsText.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <dlfcn.h>
#include <filesystem>
#include <system_error>

namespace wisteriadock {

namespace {

    // Upper bounds in seconds. An answer within the zone opens a flow within milliseconds, and callers send a copy of
    // an opening packet after 0.2 s.
    constexpr std::array openingBuckets { 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0 };
    constexpr std::array answerBuckets { 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0 };
    constexpr std::array storeBuckets { 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0 };
    constexpr std::array lagBuckets { 0.1, 0.3, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0 };

    double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    // Collects samples in the layout that the formatting module takes.
    class Samples {
    public:
        using Labels = std::vector<WisteriadockMetricLabel>;

        void count(const char* name, const char* help, std::uint64_t value, Labels labels = {})
        {
            add(WisteriadockCounter, name, help, static_cast<double>(value), std::move(labels));
        }
        void gauge(const char* name, const char* help, double value, Labels labels)
        {
            add(WisteriadockGauge, name, help, value, std::move(labels));
        }
        void histogram(const char* name, const char* help, const Histogram& buckets)
        {
            WisteriadockMetricSample& sample = add(WisteriadockHistogram, name, help, buckets.sum(), {});
            sample.bounds = buckets.bounds().data();
            sample.boundCount = buckets.bounds().size();
            sample.bucketCounts = buckets.counts().data();
        }

        // Keeps a label's text as long as the samples.
        const char* keep(std::string text) { return texts_.emplace_back(std::move(text)).c_str(); }

        const std::vector<WisteriadockMetricSample>& all() const { return samples_; }

    private:
        WisteriadockMetricSample& add(
            WisteriadockMetricKind kind, const char* name, const char* help, double value, Labels labels)
        {
            labels_.push_back(std::move(labels));
            const Labels& storedLabels = labels_.back();
            return samples_.emplace_back(WisteriadockMetricSample {
                kind, name, help, storedLabels.data(), storedLabels.size(), value, nullptr, nullptr, 0 });
        }

        std::vector<WisteriadockMetricSample> samples_;
        // A deque, since the samples point to the labels.
        std::deque<Labels> labels_;
        std::deque<std::string> texts_;
    };

    void addOverload(Samples& samples, const std::vector<ServiceOverload>& services)
    {
        for (const ServiceOverload& row : services) {
            const char* service = row.service.c_str();
            samples.gauge("wisteriadock_forwarder_shed_level",
                "Number of a service's priorities whose openings are refused, the least urgent ones first",
                static_cast<double>(row.level), { { "service", service } });
            const auto addZones = [&](const char* name, const char* help, const std::map<std::string, float>& zones) {
                for (const auto& [zone, value] : zones)
                    samples.gauge(
                        name, help, static_cast<double>(value), { { "service", service }, { "zone", zone.c_str() } });
            };
            addZones("wisteriadock_forwarder_zone_slots", "Slots that may get new flows", row.slots);
            addZones("wisteriadock_forwarder_zone_demand", "Slots that the callers of a zone need", row.demand);
            addZones("wisteriadock_forwarder_zone_room", "Slots that other zones' callers may use", row.room);
            addZones("wisteriadock_forwarder_spillover_share", "Share of this zone's new flows to another", row.shares);
        }
    }

    // The module is in the directory of the program, which the program's RPATH names. A wrapper of dlopen(), as in the
    // address sanitizer, hides the caller and thereby its RPATH, hence the second attempt with a full path.
    void* openModule()
    {
        if (void* const module = dlopen(metricsTextModule, RTLD_NOW | RTLD_LOCAL))
            return module;
        std::error_code error;
        const std::filesystem::path program = std::filesystem::read_symlink("/proc/self/exe", error);
        return error ? nullptr : dlopen((program.parent_path() / metricsTextModule).c_str(), RTLD_NOW | RTLD_LOCAL);
    }

    // The module is never unloaded, since its libraries can't be unloaded safely.
    Result<WisteriadockWriteMetrics> loadWriter()
    {
        static void* const module = openModule();
        void* const function = module ? dlsym(module, metricsTextFunction) : nullptr;
        if (!function)
            return Error { ErrorCode::Unavailable, fmt::format("{} can't be loaded", metricsTextModule) };
        return reinterpret_cast<WisteriadockWriteMetrics>(function);
    }

    void append(void* target, const char* text, std::size_t bytes)
    {
        static_cast<std::string*>(target)->append(text, bytes);
    }

    void addLoadReports(Samples& samples, const LoadReportMetrics& load)
    {
        const auto addMessages = [&](const char* what, std::uint64_t count) {
            samples.count("wisteriadock_forwarder_load_messages_total",
                "Load reports and digests received, and rows of them that were refused", count, { { "what", what } });
        };
        addMessages("report", load.reports);
        addMessages("digest", load.digests);
        addMessages("ignored", load.ignored);
        addMessages("refused_row", load.refusedRows);
        const auto addBalancers = [&](const char* what, double count) {
            samples.gauge("wisteriadock_forwarder_load_balancers",
                "Balancers of the zone: covered by its newest digest, alive, and 1 if this one aggregates", count,
                { { "of", what } });
        };
        addBalancers("covered", load.covered);
        addBalancers("alive", load.alive);
        addBalancers("aggregator", load.isAggregator);
    }

}

void Histogram::observe(double value)
{
    const auto bucket = std::ranges::lower_bound(bounds_, value) - bounds_.begin();
    ++counts_[static_cast<std::size_t>(bucket)];
    sum_ += value;
}

ForwarderMetrics::ForwarderMetrics()
    : openingTime_(openingBuckets)
    , answerTime_(answerBuckets)
    , storeTime_(storeBuckets)
    , replicaLag_(lagBuckets)
    , configurationAge_(lagBuckets)
    , configurationApplyTime_(storeBuckets)
{
}

void ForwarderMetrics::countStoreCall(const std::string& call, const std::string& outcome, Duration took)
{
    ++storeCalls_[{ call, outcome }];
    storeTime_.observe(secondsOf(took));
}

std::uint64_t ForwarderMetrics::storeCalls() const
{
    std::uint64_t sum = 0;
    for (const auto& [key, count] : storeCalls_)
        sum += count;
    return sum;
}

void ForwarderMetrics::observe(const FlowProgress& progress)
{
    if (progress.openingTime)
        openingTime_.observe(secondsOf(*progress.openingTime));
    if (progress.answerTime)
        answerTime_.observe(secondsOf(*progress.answerTime));
}

void ForwarderMetrics::observeReplicaLag(Duration lag) { replicaLag_.observe(secondsOf(lag)); }

void ForwarderMetrics::observeConfiguration(Duration age, Duration applyTime)
{
    configurationAge_.observe(secondsOf(age));
    configurationApplyTime_.observe(secondsOf(applyTime));
}

Result<std::string> ForwarderMetrics::text(const Snapshot& snapshot)
{
    BOOST_OUTCOME_TRY(write, loadWriter());
    Samples samples;
    for (std::size_t reason = 0; reason < packetReasons; ++reason) {
        for (std::size_t verdict = 0; verdict < packetVerdicts; ++verdict) {
            if (packets_[reason][verdict] == 0)
                continue;
            samples.count("wisteriadock_forwarder_packets_total", "Packets by what became of them and why",
                packets_[reason][verdict],
                { { "reason", nameOf(static_cast<PacketReason>(reason)).data() },
                    { "verdict", nameOf(static_cast<PacketVerdict>(verdict)).data() } });
        }
    }
    for (const auto& [key, count] : openings_)
        samples.count("wisteriadock_forwarder_openings_total", "First opening packets by priority and outcome", count,
            { { "outcome", nameOf(key.second).data() }, { "priority", samples.keep(std::to_string(key.first)) } });
    samples.count(
        "wisteriadock_forwarder_malformed_packets_total", "Datagrams that were no packet, and dropped", malformed_);
    samples.count(
        "wisteriadock_forwarder_unsent_packets_total", "Packets that the kernel refused to send", sendFailed_);
    samples.count(
        "wisteriadock_forwarder_refused_news_total", "Stored values that could not be read", rejectedUpdates_);
    for (const auto& [key, count] : storeCalls_)
        samples.count("wisteriadock_forwarder_store_calls_total", "Calls to the platform's store by kind and outcome",
            count, { { "call", key.first.c_str() }, { "outcome", key.second.c_str() } });
    const char* updatesHelp = "Changed keys of the store by the source of the update";
    samples.count("wisteriadock_forwarder_news_total", updatesHelp, storeUpdates_, { { "source", "store" } });
    samples.count("wisteriadock_forwarder_news_total", updatesHelp, peerUpdates_, { { "source", "balancer" } });
    for (const auto& [outcome, count] : fetches_)
        samples.count("wisteriadock_forwarder_fetches_total", "Fetches from other balancers (asked) and their outcomes",
            count, { { "outcome", outcome.c_str() } });
    for (const auto& [reason, count] : refusedDeltas_)
        samples.count("wisteriadock_forwarder_refused_deltas_total",
            "Deltas of the store that were not merged, by reason", count, { { "reason", reason.c_str() } });
    const auto addState = [&](const char* what, auto value) {
        samples.gauge("wisteriadock_forwarder_state", "Versions, ages and sizes, by what is measured",
            static_cast<double>(value), { { "of", what } });
    };
    addState("configuration_version", snapshot.configurationVersion);
    addState("news_revision", storeRevisionOf(snapshot.replicaRevision));
    addState("news_era", eraOf(snapshot.replicaRevision));
    addState("store_era", snapshot.storeEra);
    addState("news_behind_seconds", secondsOf(snapshot.replicaLag));
    if (snapshot.replicaStaleness)
        addState("replica_staleness_seconds", secondsOf(*snapshot.replicaStaleness));
    addState("flows", snapshot.flows);
    addState("members", snapshot.members);
    addState("ready", snapshot.isReady);
    addState("store_lost", snapshot.isStoreUnreachable);
    addState("watching_store", snapshot.isWatching);
    addState("log_lines", snapshot.logLines);
    addState("log_lines_dropped", snapshot.logDropped);
    addState("log_lines_suppressed", snapshot.logSuppressed);
    addState("peer_bytes", snapshot.peerBytes);
    addState("store_bytes", snapshot.storeBytes);
    addState("servers_failing", snapshot.directory->countFailing());
    const char* bytesHelp = "Bytes by what they were for; those of connections count as sent";
    for (const TrafficRow& row : snapshot.traffic) {
        samples.count("wisteriadock_forwarder_traffic_bytes_total", bytesHelp, row.sentBytes,
            { { "cause", row.cause.data() }, { "direction", "sent" } });
        samples.count("wisteriadock_forwarder_traffic_bytes_total", bytesHelp, row.receivedBytes,
            { { "cause", row.cause.data() }, { "direction", "received" } });
    }
    for (const auto& [zone, since] : snapshot.evacuatedZones->all())
        samples.gauge("wisteriadock_forwarder_evacuated_zone", "1 for each zone that operators have evacuated", 1,
            { { "zone", zone.c_str() } });
    addOverload(samples, snapshot.overload);
    for (const ServerState serverState :
        { ServerState::Ready, ServerState::Draining, ServerState::Doubtful, ServerState::Gone, ServerState::Ended })
        samples.gauge("wisteriadock_forwarder_servers", "Backend servers by what this balancer believes of them",
            static_cast<double>(snapshot.directory->countOf(serverState)), { { "state", nameOf(serverState).data() } });
    if (loadReports_)
        addLoadReports(samples, *loadReports_);
    for (const EntryOutcome outcome :
        { EntryOutcome::Applied, EntryOutcome::Rejected, EntryOutcome::Held, EntryOutcome::Contradicted })
        samples.count("wisteriadock_forwarder_server_entries_total", "Entries of servers by what became of them",
            snapshot.directory->countOf(outcome), { { "outcome", nameOf(outcome).data() } });
    addState("server_entries_held", snapshot.directory->heldEntries());
    samples.histogram(
        "wisteriadock_forwarder_opening_seconds", "From the opening packet to the caller's next one", openingTime_);
    samples.histogram("wisteriadock_forwarder_answer_seconds",
        "From a request to the caller's acknowledgement of its answer's beginning", answerTime_);
    samples.histogram(
        "wisteriadock_forwarder_store_call_seconds", "Calls to the platform's store, watches included", storeTime_);
    samples.histogram("wisteriadock_forwarder_news_lag_seconds",
        "How long others were known to have news before this balancer had it", replicaLag_);
    samples.histogram("wisteriadock_forwarder_configuration_age_seconds",
        "From a balancer's having a version from the store to its being in force here", configurationAge_);
    samples.histogram("wisteriadock_forwarder_configuration_reading_seconds",
        "What reading a version took here, while no packet was handled", configurationApplyTime_);
    std::string text;
    write(samples.all().data(), samples.all().size(), append, &text);
    return text;
}

}
