// Measures what membership costs one balancer as the fleet grows: whole fleets run in virtual time over a network in
// memory, and processor time and bytes are divided by balancers and seconds of protocol time.
#include "Support/MembershipNetwork.h"

#include <benchmark/benchmark.h>

#include <limits>
#include <map>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t availabilityZones = 8;

    std::uint64_t bytesOf(MembershipNetwork& network)
    {
        std::uint64_t bytes = 0;
        for (const auto& node : network.nodes())
            bytes += node.bytesSent;
        return bytes;
    }

    // Runs until the news of the start has gone round, so that only the cost of rest remains.
    void settle(MembershipNetwork& network)
    {
        std::uint64_t last = std::numeric_limits<std::uint64_t>::max();
        for (int i = 0; i < 120; ++i) {
            const std::uint64_t before = bytesOf(network);
            network.run(30s);
            const std::uint64_t now = bytesOf(network) - before;
            if (now > last - last / 100)
                return;
            last = now;
        }
    }

    // Starts balancers a few at a time, as a roll-out does, and waits until all know all.
    std::unique_ptr<MembershipNetwork> startFleet(std::size_t count)
    {
        auto network = std::make_unique<MembershipNetwork>(count);
        for (std::size_t i = 0; i < count; ++i) {
            network->add("zone" + std::to_string(i % availabilityZones));
            if (i % 16 == 15)
                network->run(500ms);
        }
        const auto allKnowAll = [&] {
            for (std::size_t i = 0; i < count; ++i) {
                if (network->view(i).members.size() != count)
                    return false;
            }
            return true;
        };
        if (!network->runUntil(allKnowAll, 300s))
            return nullptr;
        settle(*network);
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
        if (!network) {
            state.SkipWithError("the fleet did not come together");
            return;
        }
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
