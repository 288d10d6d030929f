// Speed and memory of the flow decisions. Utilities/capacity prints these figures next to the budgets.
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
    constexpr std::uint32_t servicesFrom = 0xC6330000;
    constexpr std::uint16_t servicePort = 443;
    constexpr std::size_t manyFlows = 1'600'000;

    // So many services with so many backend servers each.
    std::shared_ptr<Configuration> makeConfiguration(std::size_t services, std::size_t serversPerService)
    {
        auto configuration = std::make_shared<Configuration>();
        for (std::size_t i = 0; i < services; ++i) {
            Service service;
            service.name = "service-" + std::to_string(i);
            service.id = serviceIdOf(service.name);
            service.address = { servicesFrom + static_cast<std::uint32_t>(i), servicePort };
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

    // An engine of a balancer that is alone, settled, and ready to decide.
    struct LoneEngine {
        LoneEngine(std::size_t services, std::size_t serversPerService)
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

    // The engine with many warm flows, shared by the threads of one benchmark.
    LoneEngine& warmEngine()
    {
        static LoneEngine* const engine = [] {
            auto* made = new LoneEngine(2, 10);
            for (std::size_t flow = 0; flow < manyFlows; ++flow)
                made->engine.route(made->packetOf(flow), made->clock.now());
            return made;
        }();
        return *engine;
    }

    // One packet of an established flow, drawn from 1.6 million of them.
    void decidePerPacket(benchmark::State& state)
    {
        LoneEngine& lone = warmEngine();
        std::mt19937_64 random(state.thread_index());
        std::vector<FlowPacket> packets(1 << 16);
        for (FlowPacket& packet : packets)
            packet = lone.packetOf(std::uniform_int_distribution<std::size_t>(0, manyFlows - 1)(random));
        const TimePoint now = lone.clock.now();
        std::size_t next = 0;
        std::uint64_t delivered = 0;
        for (auto _ : state) {
            delivered += lone.engine.route(packets[next], now).kind == RouteKind::ToBackendServer;
            next = (next + 1) % packets.size();
        }
        if (delivered != static_cast<std::uint64_t>(state.iterations()))
            state.SkipWithError("a packet of an established flow found no backend server");
        state.SetItemsProcessed(state.iterations());
    }
    BENCHMARK(decidePerPacket)->ThreadRange(1, 8)->UseRealTime();

    // The first packet of a flow: look-up, decision and a new entry.
    void decideForNewFlow(benchmark::State& state)
    {
        LoneEngine lone(2, 10);
        std::size_t flow = 0;
        for (auto _ : state)
            benchmark::DoNotOptimize(lone.engine.route(lone.packetOf(flow++), lone.clock.now()));
        state.SetItemsProcessed(state.iterations());
    }
    BENCHMARK(decideForNewFlow)->Iterations(manyFlows);

    // Heap bytes per tracked flow, by the allocator's own count.
    void bytesPerTrackedFlow(benchmark::State& state)
    {
        const auto flows = static_cast<std::size_t>(state.range(0));
        double bytes = 0;
        for (auto _ : state) {
            LoneEngine lone(2, 10);
            const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
            for (std::size_t flow = 0; flow < flows; ++flow)
                lone.engine.route(lone.packetOf(flow), lone.clock.now());
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

    // One backend server begins to drain; everything else stays. Arguments: services, servers of each.
    void rebuildAfterOneChange(benchmark::State& state)
    {
        const auto services = static_cast<std::size_t>(state.range(0));
        const auto servers = static_cast<std::size_t>(state.range(1));
        LoneEngine lone(services, servers);
        std::uint64_t version = 1;
        for (auto _ : state) {
            state.PauseTiming();
            auto changed = std::make_shared<Configuration>(*lone.configuration);
            BackendServer& server = changed->backendServers[version % changed->backendServers.size()];
            server.state = BackendServerState::Draining;
            lone.clock.advance(std::chrono::milliseconds(50));
            state.ResumeTiming();
            lone.engine.applyConfiguration(changed, ++version, lone.clock.now());
            lone.engine.tick(lone.clock.now());
        }
    }
    BENCHMARK(rebuildAfterOneChange)
        ->Args({ 2, 10 })
        ->Args({ 240, 5 })
        ->Args({ 1200, 5 })
        ->Args({ 2400, 5 })
        ->Unit(benchmark::kMillisecond);

    // What an idle control tick costs as the number of services grows.
    void idleTick(benchmark::State& state)
    {
        LoneEngine lone(static_cast<std::size_t>(state.range(0)), 5);
        for (auto _ : state) {
            lone.clock.advance(std::chrono::milliseconds(50));
            benchmark::DoNotOptimize(lone.engine.tick(lone.clock.now()));
        }
    }
    BENCHMARK(idleTick)->Arg(2)->Arg(240)->Arg(1200)->Arg(2400)->Unit(benchmark::kMicrosecond);

    // One table, by the number of servers.
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
