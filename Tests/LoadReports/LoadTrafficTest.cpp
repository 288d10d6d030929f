#include "LoadReports/LoadFleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct TrafficCase {
        std::size_t balancers = 0;
        std::size_t zones = 0;
        // Upper bounds in KB per second: what the median balancer receives and sends, and what the busiest one does.
        double received = 0;
        double sent = 0;
        double busiestReceived = 0;
        double busiestSent = 0;
    };

    double median(std::vector<double> values)
    {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::ranges::nth_element(values, middle);
        return *middle;
    }

    class LoadTrafficTest : public testing::TestWithParam<TrafficCase> { };

    // Guards against load reports that take the processors and links of small VMs. Prints the figures of CAPACITY.md:
    // two services, two priorities, servers in the own zone and in one other.
    TEST_P(LoadTrafficTest, TrafficStaysWithinBounds)
    {
        const TrafficCase& traffic = GetParam();
        LoadFleet fleet(traffic.balancers, traffic.zones);
        for (LoadBalancerNode& node : fleet.nodes) {
            const std::string other = fmt::format("zone-{}", fleet.random() % traffic.zones);
            const RequestLoad load { 1.37F, 21.6F, 20.2F, 0.8F, 0.4F, 93ms };
            node.own.clear();
            for (const char* service : { "tryon", "scanintake" }) {
                node.own.push_back({ service, node.zone, 0, load });
                node.own.push_back({ service, node.zone, 1, load });
                if (other != node.zone)
                    node.own.push_back({ service, other, 1, load });
            }
        }
        fleet.run(4s);
        for (LoadBalancerNode& node : fleet.nodes)
            node.sentBytes = node.receivedBytes = node.receivedDatagrams = 0;
        static constexpr auto measured = 10s;
        fleet.run(measured);
        std::vector<double> sent;
        std::vector<double> received;
        std::vector<double> datagrams;
        for (const LoadBalancerNode& node : fleet.nodes) {
            const auto perSecond = [](std::uint64_t count) { return static_cast<double>(count) / measured.count(); };
            sent.push_back(perSecond(node.sentBytes) / 1000);
            received.push_back(perSecond(node.receivedBytes) / 1000);
            datagrams.push_back(perSecond(node.receivedDatagrams));
            EXPECT_TRUE(node.exchange->digestOfZone(node.zone, fleet.clock.now()));
            EXPECT_GT(node.exchange->loads(fleet.clock.now())["tryon"].callerZones.size(), 1U);
        }
        fmt::print(
            "{} balancers in {} zones: median in {:.2f} out {:.2f} KB/s, {:.1f} datagrams/s in; busiest in {:.1f} "
            "out {:.1f} KB/s, {:.0f} datagrams/s in\n",
            traffic.balancers, traffic.zones, median(received), median(sent), median(datagrams),
            std::ranges::max(received), std::ranges::max(sent), std::ranges::max(datagrams));
        EXPECT_LE(median(received), traffic.received);
        EXPECT_LE(median(sent), traffic.sent);
        EXPECT_LE(std::ranges::max(received), traffic.busiestReceived);
        EXPECT_LE(std::ranges::max(sent), traffic.busiestSent);
        // 50 reports in each interval, and the digests of the other zones, twice while aggregators change.
        EXPECT_LE(std::ranges::max(datagrams), 2 * 62.0 + 4 * static_cast<double>(traffic.zones));
    }

    INSTANTIATE_TEST_SUITE_P(Sizes, LoadTrafficTest,
        testing::Values(TrafficCase { 30, 3, 2, 1, 8, 24 }, TrafficCase { 90, 3, 2, 1, 16, 48 },
            TrafficCase { 300, 3, 2, 2, 24, 32 }, TrafficCase { 985, 5, 2.5, 2.5, 24, 32 },
            TrafficCase { 1938, 8, 2.5, 2.5, 24, 32 }),
        [](const auto& parameter) { return fmt::format("{}Balancers", parameter.param.balancers); });

}

}
