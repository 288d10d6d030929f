#include "Forwarder/ForwarderMetrics.h"

#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct ForwarderMetricsTest : testing::Test, ForwardFixture {
        ForwarderMetrics metrics;
        std::optional<Duration> replicaStaleness;

        ForwarderMetrics::Snapshot snapshot()
        {
            ForwarderMetrics::Snapshot snapshot;
            snapshot.directory = &router.directory();
            snapshot.evacuatedZones = &router.evacuatedZones();
            snapshot.replicaStaleness = replicaStaleness;
            return snapshot;
        }

        std::string textOrError()
        {
            const Result<std::string> text = metrics.text(snapshot());
            EXPECT_TRUE(text) << text.error().toString();
            return text ? text.value() : std::string();
        }

        // The text of a metric's value; empty when the metric, given by name and labels, is missing.
        std::string valueOf(const std::string& metric)
        {
            const std::string text = "\n" + textOrError();
            const auto begin = text.find("\n" + metric + " ");
            if (begin == std::string::npos)
                return {};
            const auto value = begin + metric.size() + 2;
            return text.substr(value, text.find('\n', value) - value);
        }
    };

    TEST_F(ForwarderMetricsTest, PacketsByVerdictAndReason)
    {
        metrics.countPacket(PacketReason::NoRoute, PacketVerdict::Reset);
        metrics.countPacket(PacketReason::NoRoute, PacketVerdict::Drop);
        metrics.countPacket(PacketReason::NoRoute, PacketVerdict::Drop);
        metrics.countMalformed();
        EXPECT_EQ(valueOf("wisteriadock_forwarder_packets_total{reason=\"no_route\",verdict=\"reset\"}"), "1");
        EXPECT_EQ(valueOf("wisteriadock_forwarder_packets_total{reason=\"no_route\",verdict=\"drop\"}"), "2");
        EXPECT_EQ(valueOf("wisteriadock_forwarder_malformed_packets_total"), "1");
    }

    // Guards against an age of 0 where none is known, which would look current.
    TEST_F(ForwarderMetricsTest, AgeOfTheViewOnlyWhereItIsKnown)
    {
        const std::string metric = "wisteriadock_forwarder_state{of=\"replica_staleness_seconds\"}";
        EXPECT_EQ(valueOf(metric), "");
        replicaStaleness = 1500ms;
        EXPECT_EQ(valueOf(metric), "1.5");
    }

    TEST_F(ForwarderMetricsTest, OpeningsByPriorityAndTheLoadOfServices)
    {
        PacketDecision decision;
        decision.reason = PacketReason::PriorityShed;
        decision.admission.isRefused = true;
        decision.admission.priority = 2;
        metrics.countOpening(decision);
        decision.copies = 1;
        metrics.countOpening(decision);
        EXPECT_EQ(valueOf("wisteriadock_forwarder_openings_total{outcome=\"priority_shed\",priority=\"2\"}"), "1");

        ForwarderMetrics::Snapshot values = snapshot();
        values.overload.push_back(
            { "tryon", 0.5F, { { "walu", 6 } }, { { "walu", 7 } }, { { "walu", 0 } }, { { "nabua", 0.25F } } });
        const std::string text = metrics.text(values).value();
        for (const char* line : { "shed_level{service=\"tryon\"} 0.5", "zone_slots{service=\"tryon\",zone=\"walu\"} 6",
                 "zone_demand{service=\"tryon\",zone=\"walu\"} 7", "zone_room{service=\"tryon\",zone=\"walu\"} 0",
                 "spillover_share{service=\"tryon\",zone=\"nabua\"} 0.25" })
            EXPECT_NE(text.find(line), std::string::npos) << line;
    }

    TEST_F(ForwarderMetricsTest, HistogramsOfLatencies)
    {
        FlowProgress progress;
        progress.openingTime = 4ms;
        progress.answerTime = 250ms;
        metrics.observe(progress);
        metrics.countStoreCall("watch", "ok", 2500ms);
        metrics.observeReplicaLag(400ms);
        {
            SCOPED_TRACE("an observation counts in its bucket and all higher ones");
            EXPECT_EQ(valueOf("wisteriadock_forwarder_opening_seconds_bucket{le=\"0.002\"}"), "0");
            EXPECT_EQ(valueOf("wisteriadock_forwarder_opening_seconds_bucket{le=\"0.005\"}"), "1");
            EXPECT_EQ(valueOf("wisteriadock_forwarder_answer_seconds_bucket{le=\"0.2\"}"), "0");
            EXPECT_EQ(valueOf("wisteriadock_forwarder_answer_seconds_bucket{le=\"+Inf\"}"), "1");
        }
        EXPECT_EQ(valueOf("wisteriadock_forwarder_store_call_seconds_count"), "1");
        EXPECT_EQ(valueOf("wisteriadock_forwarder_store_calls_total{call=\"watch\",outcome=\"ok\"}"), "1");
        EXPECT_EQ(valueOf("wisteriadock_forwarder_news_lag_seconds_count"), "1");
    }

    TEST_F(ForwarderMetricsTest, LoadReportsOnlyWhenSwitchedOn)
    {
        EXPECT_EQ(valueOf("wisteriadock_forwarder_load_balancers{of=\"covered\"}"), "");
        LoadReportMetrics load;
        load.reports = 3;
        load.covered = 9;
        load.isAggregator = true;
        metrics.setLoadReports(load);
        EXPECT_EQ(valueOf("wisteriadock_forwarder_load_messages_total{what=\"report\"}"), "3");
        EXPECT_EQ(valueOf("wisteriadock_forwarder_load_balancers{of=\"covered\"}"), "9");
        EXPECT_EQ(valueOf("wisteriadock_forwarder_load_balancers{of=\"aggregator\"}"), "1");
    }

    TEST_F(ForwarderMetricsTest, ServersByStateAreCountedAtEachRead)
    {
        put(server(1));
        put(server(2));
        router.removeServer(server(2).id, true, clock.now());
        EXPECT_EQ(valueOf("wisteriadock_forwarder_servers{state=\"ready\"}"), "1");
        EXPECT_EQ(valueOf("wisteriadock_forwarder_servers{state=\"doubtful\"}"), "1");
        EXPECT_EQ(valueOf("wisteriadock_forwarder_state{of=\"servers_failing\"}"), "0");
        router.directory().find(server(1).id)->seen.isFailing = true;
        EXPECT_EQ(valueOf("wisteriadock_forwarder_state{of=\"servers_failing\"}"), "1");
    }

    TEST_F(ForwarderMetricsTest, EntriesOfServersAreCountedByOutcome)
    {
        router.applyConfiguration(configuration(3));
        put(server(1));
        put(server(2));
        put(server(3, "unnamed"));
        router.invalidateServer(server(2).id, ++revision, clock.now());
        EXPECT_EQ(valueOf("wisteriadock_forwarder_server_entries_total{outcome=\"applied\"}"), "2");
        EXPECT_EQ(valueOf("wisteriadock_forwarder_server_entries_total{outcome=\"held\"}"), "1");
        EXPECT_EQ(valueOf("wisteriadock_forwarder_server_entries_total{outcome=\"rejected\"}"), "1");
        EXPECT_EQ(valueOf("wisteriadock_forwarder_server_entries_total{outcome=\"contradicted\"}"), "0");
        EXPECT_EQ(valueOf("wisteriadock_forwarder_state{of=\"server_entries_held\"}"), "1");
    }

}

}
