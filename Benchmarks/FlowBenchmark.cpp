// Speed and memory of routing decisions; read by Utilities/capacity.
#include "Flow/BucketTable.h"
#include "Flow/FlowEngine.h"

#include <benchmark/benchmark.h>

#include <malloc.h>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace wisteriadock {
namespace {

    constexpr std::uint32_t loopback = 0x7F000001;
    constexpr std::uint32_t firstServiceAddress = 0xC6330000;
    constexpr std::uint16_t servicePort = 443;
    constexpr std::size_t manyFlows = 1'600'000;

    std::shared_ptr<Configuration> makeConfiguration(std::size_t services, std::size_t serversPerService)
    {
        auto configuration = std::make_shared<Configuration>();
        for (std::size_t i = 0; i < services; ++i) {
            Service service;
            service.name = "service-" + std::to_string(i);
            service.id = serviceIdOf(service.name);
            service.address = { firstServiceAddress + static_cast<std::uint32_t>(i), servicePort };
            configuration->services.push_back(service);
            for (std::size_t j = 0; j < serversPerService; ++j) {
                BackendServer server;
                server.name = service.name + "-" + std::to_string(j);
                server.id = backendServerIdOf(server.name);
                server.service = service.id;
                server.flowAddress = { loopback + static_cast<std::uint32_t>(configuration->backendServers.size()), 1 };
                configuration->backendServers.push_back(server);
            }
        }
        return configuration;
    }

    // A settled engine of a fleet that has only this balancer.
    struct SingleBalancerEngine {
        SingleBalancerEngine(std::size_t services, std::size_t serversPerService)
            : engine(makeSettings(), balancerIdOf("alone"), 1)
            , configuration(makeConfiguration(services, serversPerService))
        {
            auto view = std::make_shared<MembersView>();
            view->self = balancerIdOf("alone");
            Member self;
            self.id = view->self;
            self.state = MemberState::Serving;
            view->members.push_back(self);
            engine.applyMembers(view, clock.now());
            engine.applyConfiguration(configuration, 1, clock.now());
            engine.tick(clock.now());
            clock.advance(std::chrono::seconds(5));
            engine.tick(clock.now());
        }

        static FlowSettings makeSettings()
        {
            FlowSettings settings;
            settings.trackedFlows = 2 * manyFlows;
            return settings;
        }

        FlowPacket packetOf(std::size_t flow) const
        {
            FlowPacket packet;
            packet.client = { 0x0A000000 + static_cast<std::uint32_t>(flow >> 4),
                static_cast<std::uint16_t>(40000 + (flow & 15)) };
            packet.serviceAddress = configuration->services[flow % configuration->services.size()].address;
            return packet;
        }

        ManualClock clock;
        FlowEngine engine;
        std::shared_ptr<Configuration> configuration;
    };

    // An engine that tracks manyFlows flows, shared by the threads of a benchmark.
    SingleBalancerEngine& warmEngine()
    {
        static SingleBalancerEngine* const engine = [] {
            auto* made = new SingleBalancerEngine(2, 10);
            for (std::size_t flow = 0; flow < manyFlows; ++flow)
                made->engine.route(made->packetOf(flow), made->clock.now());
            return made;
        }();
        return *engine;
    }

    // Routes a packet of a random established flow.
    void decidePerPacket(benchmark::State& state)
    {
        SingleBalancerEngine& single = warmEngine();
        std::mt19937_64 random(state.thread_index());
        std::vector<FlowPacket> packets(1 << 16);
        for (FlowPacket& packet : packets)
            packet = single.packetOf(std::uniform_int_distribution<std::size_t>(0, manyFlows - 1)(random));
        const TimePoint now = single.clock.now();
        std::size_t next = 0;
        std::uint64_t delivered = 0;
        for (auto _ : state) {
            delivered += single.engine.route(packets[next], now).kind == RouteKind::ToBackendServer;
            next = (next + 1) % packets.size();
        }
        if (delivered != static_cast<std::uint64_t>(state.iterations()))
            state.SkipWithError("a packet of an established flow found no backend server");
        state.SetItemsProcessed(state.iterations());
    }
    BENCHMARK(decidePerPacket)->ThreadRange(1, 8)->UseRealTime();

    // Routes the first packet of a flow: lookup, decision and a new entry.
    void decideForNewFlow(benchmark::State& state)
    {
        SingleBalancerEngine single(2, 10);
        std::size_t flow = 0;
        for (auto _ : state)
            benchmark::DoNotOptimize(single.engine.route(single.packetOf(flow++), single.clock.now()));
        state.SetItemsProcessed(state.iterations());
    }
    BENCHMARK(decideForNewFlow)->Iterations(manyFlows);

    // Heap bytes per tracked flow, as counted by the allocator.
    void bytesPerTrackedFlow(benchmark::State& state)
    {
        const auto flows = static_cast<std::size_t>(state.range(0));
        double bytes = 0;
        for (auto _ : state) {
            SingleBalancerEngine single(2, 10);
            const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
            for (std::size_t flow = 0; flow < flows; ++flow)
                single.engine.route(single.packetOf(flow), single.clock.now());
            const std::size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
            bytes = double(after - before) / double(flows);
        }
        state.counters["bytes_per_flow"] = bytes;
    }
    BENCHMARK(bytesPerTrackedFlow)
        ->Arg(100'000)
        ->Arg(400'000)
        ->Arg(1'600'000)
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);

    // One backend server starts draining. Arguments: services, servers per service.
    void rebuildAfterOneChange(benchmark::State& state)
    {
        const auto services = static_cast<std::size_t>(state.range(0));
        const auto servers = static_cast<std::size_t>(state.range(1));
        SingleBalancerEngine single(services, servers);
        std::uint64_t version = 1;
        for (auto _ : state) {
            state.PauseTiming();
            auto changed = std::make_shared<Configuration>(*single.configuration);
            BackendServer& server = changed->backendServers[version % changed->backendServers.size()];
            server.state = BackendServerState::Draining;
            single.clock.advance(std::chrono::milliseconds(50));
            state.ResumeTiming();
            single.engine.applyConfiguration(changed, ++version, single.clock.now());
            single.engine.tick(single.clock.now());
        }
    }
    BENCHMARK(rebuildAfterOneChange)
        ->Args({ 2, 10 })
        ->Args({ 240, 5 })
        ->Args({ 1200, 5 })
        ->Args({ 2400, 5 })
        ->Unit(benchmark::kMillisecond);

    // A control tick without changes, by the number of services.
    void idleTick(benchmark::State& state)
    {
        SingleBalancerEngine single(static_cast<std::size_t>(state.range(0)), 5);
        for (auto _ : state) {
            single.clock.advance(std::chrono::milliseconds(50));
            benchmark::DoNotOptimize(single.engine.tick(single.clock.now()));
        }
    }
    BENCHMARK(idleTick)->Arg(2)->Arg(240)->Arg(1200)->Arg(2400)->Unit(benchmark::kMicrosecond);

    // Builds one table, by the number of servers.
    void buildTable(benchmark::State& state)
    {
        std::vector<ServerShare> shares;
        for (std::int64_t i = 0; i < state.range(0); ++i)
            shares.push_back({ backendServerIdOf(std::to_string(i)), 100 });
        for (auto _ : state)
            benchmark::DoNotOptimize(BucketTable::build(FlowPolicy::Protected, 0.5, serviceIdOf("tryon"), shares));
    }
    BENCHMARK(buildTable)->Arg(5)->Arg(19)->Arg(100)->Unit(benchmark::kMicrosecond);

}
}

BENCHMARK_MAIN();
