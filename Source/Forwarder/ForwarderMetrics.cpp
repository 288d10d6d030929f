#include "Forwarder/ForwarderMetrics.h"

#include <prometheus/text_serializer.h>

#include <chrono>

namespace wisteriadock {

namespace {

    // Seconds. An answer in the zone opens a flow within milliseconds; callers send again after 0.2 s.
    const prometheus::Histogram::BucketBoundaries openingBuckets { 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1 };
    const prometheus::Histogram::BucketBoundaries answerBuckets { 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5 };
    const prometheus::Histogram::BucketBoundaries storeBuckets { 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5 };
    const prometheus::Histogram::BucketBoundaries lagBuckets { 0.1, 0.3, 0.5, 1, 2, 3, 5, 10 };

    double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    template <typename Builder>
    auto& familyOf(prometheus::Registry& registry, Builder builder, const char* name, const char* help)
    {
        return builder.Name(name).Help(help).Register(registry);
    }

    prometheus::Counter& counterOf(prometheus::Registry& registry, const char* name, const char* help)
    {
        return familyOf(registry, prometheus::BuildCounter(), name, help).Add({});
    }

    prometheus::Histogram& histogramOf(prometheus::Registry& registry, const char* name, const char* help,
        const prometheus::Histogram::BucketBoundaries& buckets)
    {
        return familyOf(registry, prometheus::BuildHistogram(), name, help).Add({}, buckets);
    }

}

ForwarderMetrics::ForwarderMetrics()
    : packetFamily_(familyOf(registry_, prometheus::BuildCounter(), "wisteriadock_forwarder_packets_total",
        "Packets by what became of them and why"))
    , malformed_(counterOf(
          registry_, "wisteriadock_forwarder_malformed_packets_total", "Datagrams that were no packet, and dropped"))
    , sendFailed_(counterOf(
          registry_, "wisteriadock_forwarder_unsent_packets_total", "Packets that the kernel refused to send"))
    , refusedNews_(
          counterOf(registry_, "wisteriadock_forwarder_refused_news_total", "Stored values that could not be read"))
    , storeCalls_(familyOf(registry_, prometheus::BuildCounter(), "wisteriadock_forwarder_store_calls_total",
          "Calls to the platform's store by kind and outcome"))
    , news_(familyOf(registry_, prometheus::BuildCounter(), "wisteriadock_forwarder_news_total",
          "Changed keys by who told of them"))
    , fetches_(familyOf(registry_, prometheus::BuildCounter(), "wisteriadock_forwarder_fetches_total",
          "News asked of other balancers, by outcome"))
    , readings_(familyOf(registry_, prometheus::BuildGauge(), "wisteriadock_forwarder_state",
          "Versions, ages and sizes, by what is measured"))
    , servers_(familyOf(registry_, prometheus::BuildGauge(), "wisteriadock_forwarder_servers",
          "Backend servers by what this balancer believes of them"))
    , openingTime_(histogramOf(registry_, "wisteriadock_forwarder_opening_seconds",
          "From the opening packet to the caller's next one", openingBuckets))
    , answerTime_(histogramOf(registry_, "wisteriadock_forwarder_answer_seconds",
          "From a request to the caller's acknowledgement of its answer's beginning", answerBuckets))
    , storeTime_(histogramOf(registry_, "wisteriadock_forwarder_store_call_seconds",
          "Calls to the platform's store, watches included", storeBuckets))
    , newsLag_(histogramOf(registry_, "wisteriadock_forwarder_news_lag_seconds",
          "How long others were known to have news before this balancer had it", lagBuckets))
{
}

void ForwarderMetrics::countPacket(PacketReason reason, PacketVerdict verdict)
{
    auto& counter = packets_[static_cast<std::size_t>(reason)][static_cast<std::size_t>(verdict)];
    if (!counter)
        counter = &packetFamily_.Add(
            { { "reason", std::string(nameOf(reason)) }, { "verdict", std::string(nameOf(verdict)) } });
    counter->Increment();
}

void ForwarderMetrics::countStoreCall(const std::string& call, const std::string& outcome, Duration took)
{
    storeCalls_.Add({ { "call", call }, { "outcome", outcome } }).Increment();
    storeTime_.Observe(secondsOf(took));
}

void ForwarderMetrics::countNews(const std::string& source, std::size_t items)
{
    news_.Add({ { "source", source == "store" ? "store" : "balancer" } }).Increment(static_cast<double>(items));
}

void ForwarderMetrics::countFetch(const std::string& outcome) { fetches_.Add({ { "outcome", outcome } }).Increment(); }

void ForwarderMetrics::observe(const FlowProgress& progress)
{
    if (progress.openingTime)
        openingTime_.Observe(secondsOf(*progress.openingTime));
    if (progress.answerTime)
        answerTime_.Observe(secondsOf(*progress.answerTime));
}

void ForwarderMetrics::observeNewsLag(Duration lag) { newsLag_.Observe(secondsOf(lag)); }

std::string ForwarderMetrics::text(const Readings& readings)
{
    const auto set = [&](const char* what, double value) { readings_.Add({ { "of", what } }).Set(value); };
    set("configuration_version", static_cast<double>(readings.configurationVersion));
    set("news_revision", static_cast<double>(readings.newsRevision));
    set("flows", static_cast<double>(readings.flows));
    set("members", static_cast<double>(readings.members));
    set("ready", readings.isReady ? 1 : 0);
    set("store_lost", readings.isStoreLost ? 1 : 0);
    set("watching_store", readings.isWatching ? 1 : 0);
    set("log_lines", static_cast<double>(readings.logLines));
    set("log_lines_dropped", static_cast<double>(readings.logDropped));
    set("log_lines_left_out", static_cast<double>(readings.logLeftOut));
    set("peer_bytes", static_cast<double>(readings.peerBytes));
    set("store_bytes", static_cast<double>(readings.storeBytes));
    set("servers_failing", static_cast<double>(readings.directory->countFailing()));
    for (const ServerState state :
        { ServerState::Ready, ServerState::Draining, ServerState::Doubtful, ServerState::Gone, ServerState::Ended })
        servers_.Add({ { "state", std::string(nameOf(state)) } })
            .Set(static_cast<double>(readings.directory->countOf(state)));
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}
