// Cost of membership per balancer, by the size of the fleet. Whole fleets run in virtual time over an in-memory
// network; processor time and bytes are divided by balancers and seconds of virtual time.
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
    constexpr std::size_t rowsPerPage = 10;
    // Covers both reads of the view by a new balancer.
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

    // Makes every balancer known to every other at once, without the slower join protocol.
    void introduceAll(MembershipNetwork& network)
    {
        std::vector<MemberRow> rows;
        for (const auto& node : network.nodes()) {
            MemberRecord record;
            record.member = node.self;
            rows.push_back(rowOf(record, true));
        }
        std::vector<std::vector<std::uint8_t>> pages;
        for (std::size_t first = 0; first < rows.size(); first += rowsPerPage) {
            const std::size_t last = std::min(first + rowsPerPage, rows.size());
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

    // Keeps one started fleet per size, since starting a fleet takes longer than the benchmark.
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

    // Runs a fleet without changes for one second. The time includes the in-memory network.
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
