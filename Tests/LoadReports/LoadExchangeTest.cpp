#include "LoadReports/LoadFleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Each balancer of the fleet sees this many requests in progress.
    constexpr float ownDemand = 3;

    template <typename Event> std::size_t countEvents(const LoadBalancerNode& node)
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            node.events, [](const LoadAction& action) { return std::holds_alternative<Event>(action); }));
    }

    bool hasDigestOf(const LoadFleet& fleet, const LoadBalancerNode& node, const std::string& zone)
    {
        return node.exchange->digestOfZone(zone, fleet.clock.now()) != nullptr;
    }

    TEST(LoadExchangeTest, EveryBalancerKnowsTheLoadOfAllZones)
    {
        LoadFleet fleet(30, 3);
        fleet.run(3s);
        for (const LoadBalancerNode& node : fleet.nodes) {
            EXPECT_NEAR(fleet.demand(node), 30 * ownDemand, 0.5F);
            EXPECT_NEAR(fleet.demandOf("zone-1", node), 10 * ownDemand, 0.2F);
            const ServiceLoad load = node.exchange->loads(fleet.clock.now())["tryon"];
            EXPECT_EQ(load.callerZones.size(), 3U);
            ASSERT_EQ(load.rows.size(), 6U);
            EXPECT_NEAR(load.totalDemand(1), 15 * ownDemand, 0.3F);
            EXPECT_NEAR(load.rows[0].load.rejected, 5, 0.1F);
            EXPECT_EQ(load.rows[0].load.answerTime, 80ms);
            EXPECT_EQ(node.exchange->digestOfZone(node.zone, fleet.clock.now())->covered, 10U);
        }
    }

    // Guards against no knowledge at all where nobody sends digests: one's own share stands for the zone.
    TEST(LoadExchangeTest, WithoutADigestTheOwnObservationIsScaled)
    {
        LoadFleet fleet(30, 3);
        fleet.isLost = [](const auto&, const auto&, const auto&) { return true; };
        fleet.run(700ms);
        const auto follower = std::ranges::find_if(
            fleet.nodes, [](const LoadBalancerNode& node) { return !node.exchange->isAggregator(); });
        ASSERT_NE(follower, fleet.nodes.end());
        EXPECT_NEAR(fleet.demand(*follower), 10 * ownDemand, 0.1F);
        EXPECT_EQ(follower->exchange->loads(fleet.clock.now())["tryon"].callerZones, std::set { follower->zone });
    }

    // Guards against sums that fall with each lost datagram.
    TEST(LoadExchangeTest, LostMessagesChangeLittle)
    {
        LoadFleet fleet(30, 3);
        fleet.isLost = [&](const auto&, const auto&, const auto&) { return fleet.random() % 10 < 3; };
        fleet.run(3s);
        std::size_t without = 0;
        for (int i = 0; i < 20; ++i) {
            fleet.run(250ms);
            for (const LoadBalancerNode& node : fleet.nodes) {
                without += !hasDigestOf(fleet, node, node.zone);
                if (hasDigestOf(fleet, node, node.zone)) {
                    EXPECT_NEAR(fleet.demandOf(node.zone, node), 10 * ownDemand, 0.2F);
                }
            }
        }
        EXPECT_LE(without, 20U * 30 / 50);
    }

    // Guards against reports that arrive late or twice, and against those of a process that has ended.
    TEST(LoadExchangeTest, OldReportsAreIgnored)
    {
        LoadFleet fleet(6, 1);
        std::vector<PeerEnvelope> reports;
        fleet.isLost = [&](const auto&, const auto&, const PeerEnvelope& envelope) {
            if (envelope.kind == PeerMessageKind::LoadReport)
                reports.push_back(envelope);
            return false;
        };
        fleet.run(3s);
        LoadBalancerNode& aggregator = fleet.aggregatorOf("zone-0");
        const LoadExchange::Counts before = aggregator.exchange->counts();
        const PeerEnvelope first = reports.front();
        aggregator.exchange->handleMessage(first, fleet.clock.now());
        EXPECT_EQ(aggregator.exchange->counts().ignored, before.ignored + 1);
        {
            SCOPED_TRACE("a former process of a restarted balancer");
            const auto sender = std::ranges::find(fleet.nodes, first.sender, &LoadBalancerNode::id);
            fleet.restart(*sender);
            fleet.publishView(true);
            fleet.run(1s);
            const std::uint64_t ignored = aggregator.exchange->counts().ignored;
            PeerEnvelope late = *std::ranges::find(reports, first.sender, &PeerEnvelope::sender);
            late.senderIncarnation = 1;
            aggregator.exchange->handleMessage(late, fleet.clock.now());
            EXPECT_EQ(aggregator.exchange->counts().ignored, ignored + 1);
            EXPECT_NEAR(fleet.demand(aggregator), 6 * ownDemand, 0.2F);
        }
        {
            SCOPED_TRACE("unknown senders and unreadable messages");
            const std::uint64_t ignored = aggregator.exchange->counts().ignored;
            PeerEnvelope foreign = first;
            foreign.sender = balancerIdOf("nobody");
            aggregator.exchange->handleMessage(foreign, fleet.clock.now());
            PeerEnvelope unreadable = reports.back();
            unreadable.payload.resize(3);
            aggregator.exchange->handleMessage(unreadable, fleet.clock.now());
            EXPECT_EQ(aggregator.exchange->counts().ignored, ignored + 2);
        }
    }

    // Guards against one balancer with wrong counters that makes a zone look overloaded.
    TEST(LoadExchangeTest, RowsAboveWhatABalancerCanSeeAreRefused)
    {
        LoadFleet fleet(10, 1);
        fleet.run(1s);
        const auto wrong = std::ranges::find_if(
            fleet.nodes, [](const LoadBalancerNode& node) { return !node.exchange->isAggregator(); });
        wrong->own[0].load.inProgress = 150'000;
        wrong->own[1].load.begun = 150'000;
        fleet.run(3s);
        LoadBalancerNode& aggregator = fleet.aggregatorOf("zone-0");
        EXPECT_GT(aggregator.exchange->counts().refusedRows, 0U);
        EXPECT_GT(countEvents<LoadRowsRefused>(aggregator), 0U);
        for (const LoadBalancerNode& node : fleet.nodes)
            EXPECT_NEAR(fleet.demand(node), 9 * ownDemand, 0.5F);
    }

    // Guards against a zone without digests until membership declares the aggregator dead.
    TEST(LoadExchangeTest, TheLossOfAnAggregatorNeedsNoMembership)
    {
        LoadFleet fleet(30, 3);
        fleet.run(3s);
        LoadBalancerNode& lost = fleet.aggregatorOf("zone-0");
        lost.isStopped = true;
        fleet.run(3500ms);
        for (const LoadBalancerNode& node : fleet.nodes) {
            if (node.isStopped)
                continue;
            const ZoneLoad* digest = node.exchange->digestOfZone("zone-0", fleet.clock.now());
            ASSERT_TRUE(digest);
            EXPECT_NE(digest->aggregator, lost.id);
            // The one that ended is scaled in until membership knows.
            EXPECT_NEAR(fleet.demandOf("zone-0", node), 10 * ownDemand, 0.2F);
        }
        {
            SCOPED_TRACE("it returns and aggregates again");
            fleet.restart(lost);
            fleet.publishView(true);
            fleet.run(4s);
            for (const LoadBalancerNode& node : fleet.nodes)
                EXPECT_EQ(node.exchange->digestOfZone("zone-0", fleet.clock.now())->aggregator, lost.id);
        }
    }

    // Guards against a first-ranking balancer of an earlier version, which sends no digests, or that nobody hears.
    TEST(LoadExchangeTest, AnAggregatorThatNobodyHearsIsSkipped)
    {
        LoadFleet fleet(30, 3);
        fleet.run(3s);
        const BalancerId silent = fleet.aggregatorOf("zone-0").id;
        fleet.isLost = [&](const LoadBalancerNode& from, const auto&, const auto&) { return from.id == silent; };
        fleet.run(4s);
        for (const LoadBalancerNode& node : fleet.nodes) {
            if (node.id == silent)
                continue;
            const ZoneLoad* digest = node.exchange->digestOfZone("zone-0", fleet.clock.now());
            ASSERT_TRUE(digest);
            EXPECT_NE(digest->aggregator, silent);
            EXPECT_NEAR(fleet.demandOf("zone-0", node), 10 * ownDemand, 0.2F);
        }
    }

    // Guards against new flows that are placed by the load of a zone that nobody hears of any more.
    TEST(LoadExchangeTest, DigestsOfAZoneThatIsCutOffExpire)
    {
        LoadFleet fleet(30, 3);
        fleet.run(3s);
        const auto crosses = [](const LoadBalancerNode& from, const LoadBalancerNode& to, const auto&) {
            return (from.zone == "zone-2") != (to.zone == "zone-2");
        };
        fleet.isLost = crosses;
        // An aggregator passes on what it received last, so the age counts from the first aggregator on.
        fleet.run(2500ms);
        for (const LoadBalancerNode& node : fleet.nodes) {
            const bool isCutOff = node.zone == "zone-2";
            EXPECT_NEAR(fleet.demand(node), (isCutOff ? 10 : 20) * ownDemand, 0.5F);
            EXPECT_EQ(node.exchange->loads(fleet.clock.now())["tryon"].callerZones.contains("zone-2"), isCutOff);
            EXPECT_EQ(node.exchange->loads(fleet.clock.now())["tryon"].callerZones.size(), isCutOff ? 1U : 2U);
        }
        fleet.isLost = nullptr;
        fleet.run(2s);
        for (const LoadBalancerNode& node : fleet.nodes)
            EXPECT_NEAR(fleet.demand(node), 30 * ownDemand, 0.5F);
    }

    // Guards against sequences of former processes that hide the reports of new ones.
    TEST(LoadExchangeTest, AllBalancersRestartAtOnce)
    {
        LoadFleet fleet(30, 3);
        fleet.run(10s);
        for (LoadBalancerNode& node : fleet.nodes)
            fleet.restart(node);
        fleet.publishView(true);
        fleet.run(2s);
        for (const LoadBalancerNode& node : fleet.nodes)
            EXPECT_NEAR(fleet.demand(node), 30 * ownDemand, 0.5F);
    }

    // Guards against sums of a large zone that only cover the balancers that happened to report.
    TEST(LoadExchangeTest, ReportsOfALargeZoneAreScaled)
    {
        LoadFleet fleet(400, 2);
        for (LoadBalancerNode& node : fleet.nodes) {
            for (ObservedLoad& row : node.own)
                row.load.inProgress = static_cast<float>(fleet.random() % 4);
        }
        float demand = 0;
        for (const LoadBalancerNode& node : fleet.nodes)
            demand += node.own[0].load.inProgress + node.own[1].load.inProgress;
        fleet.run(5s);
        for (int i = 0; i < 10; ++i) {
            fleet.run(500ms);
            for (const LoadBalancerNode& node : fleet.nodes)
                EXPECT_NEAR(fleet.demand(node), demand, demand * 0.1F);
        }
    }

    // Guards against a full report or digest that doesn't fit into a datagram and is never sent.
    TEST(LoadExchangeTest, ManyServicesStillFitIntoADatagram)
    {
        LoadFleet fleet(12, 3);
        for (LoadBalancerNode& node : fleet.nodes) {
            for (int i = 0; i < 100; ++i) {
                const std::string service = "service-with-a-long-name-" + std::to_string(i);
                node.own.push_back({ service, "zone-0", 0, { 0.01F * static_cast<float>(i), 1, 1, 0, 0, 90ms } });
            }
        }
        fleet.run(3s);
        for (const LoadBalancerNode& node : fleet.nodes) {
            EXPECT_NEAR(fleet.demand(node), 12 * ownDemand, 0.5F);
            EXPECT_TRUE(hasDigestOf(fleet, node, "zone-0"));
        }
    }

}

}
