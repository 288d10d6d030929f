// Measures what membership costs one balancer as the fleet grows: whole fleets run in virtual time over a network in
// memory, and processor time and bytes are divided by balancers and seconds of protocol time.
#include "Support/MembershipNetwork.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t availabilityZones = 8;
    constexpr std::size_t rowsOfPage = 10;
    // Long enough for both times that a newcomer reads the view.
    constexpr std::chrono::seconds settlingTime { 240 };

    std::uint64_t bytesOf(MembershipNetwork& network)
    {
        std::uint64_t bytes = 0;
        for (const auto& node : network.nodes())
            bytes += node.bytesSent;
        return bytes;
    }

    PeerMessageReceived messageOf(const Member& sender, PeerMessageKind kind, std::vector<std::uint8_t> payload)
    {
        return { sender.peerAddress, { sender.id, sender.incarnation, kind, std::move(payload) } };
    }

    // Tells every balancer of every other at once. Joining is measured elsewhere and takes longer than what is measured
    // here.
    void introduceAll(MembershipNetwork& network)
    {
        std::vector<MemberRow> rows;
        for (const auto& node : network.nodes()) {
            MemberRecord record;
            record.member = node.self;
            rows.push_back(rowOf(record, true));
        }
        std::vector<std::vector<std::uint8_t>> pages;
        for (std::size_t first = 0; first < rows.size(); first += rowsOfPage) {
            const std::size_t last = std::min(first + rowsOfPage, rows.size());
            MembersPageMessage page;
            page.rows.assign(rows.begin() + first, rows.begin() + last);
            pages.push_back(encodeMessage(page));
        }
        for (std::size_t i = 0; i < rows.size(); ++i) {
            const std::size_t sender = (i + 1) % rows.size();
            HeartbeatMessage hello;
            hello.status = rows[sender].status;
            hello.details = rows[sender].details;
            Membership& membership = *network.nodes()[i].membership;
            const Member& member = network.nodes()[sender].self;
            membership.handle(messageOf(member, PeerMessageKind::Heartbeat, encodeMessage(hello)), network.now);
            for (const auto& page : pages)
                membership.handle(messageOf(member, PeerMessageKind::MembersPage, page), network.now);
        }
    }

    std::unique_ptr<MembershipNetwork> startFleet(std::size_t count)
    {
        auto network = std::make_unique<MembershipNetwork>(count);
        for (std::size_t i = 0; i < count; ++i)
            network->add("zone" + std::to_string(i % availabilityZones));
        introduceAll(*network);
        network->run(settlingTime);
        return network;
    }

    // One fleet a size, since starting one takes longer than what is measured.
    MembershipNetwork* fleetOf(std::size_t count)
    {
        static std::map<std::size_t, std::unique_ptr<MembershipNetwork>> fleets;
        if (!fleets.contains(count))
            fleets[count] = startFleet(count);
        return fleets[count].get();
    }

    std::uint64_t datagramsOf(MembershipNetwork& network)
    {
        std::uint64_t datagrams = 0;
        for (const auto& node : network.nodes())
            datagrams += node.datagramsSent;
        return datagrams;
    }

    // One second of a fleet at rest. The time includes that of the network in memory.
    void fleetAtRest(benchmark::State& state)
    {
        const auto count = static_cast<std::size_t>(state.range(0));
        MembershipNetwork* const network = fleetOf(count);
        const std::uint64_t bytesBefore = bytesOf(*network);
        const std::uint64_t datagramsBefore = datagramsOf(*network);
        for (auto iteration : state)
            network->run(1s);
        const double nodeSeconds = static_cast<double>(count) * static_cast<double>(state.iterations());
        state.counters["bytes_per_second"] = static_cast<double>(bytesOf(*network) - bytesBefore) / nodeSeconds;
        state.counters["datagrams_per_second"]
            = static_cast<double>(datagramsOf(*network) - datagramsBefore) / nodeSeconds;
        state.counters["cpu_seconds_per_node_second"]
            = benchmark::Counter(nodeSeconds, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
    }

    BENCHMARK(fleetAtRest)->Arg(7)->Arg(100)->Arg(400)->Arg(1900)->Unit(benchmark::kMillisecond)->Iterations(20);

}
}

BENCHMARK_MAIN();
