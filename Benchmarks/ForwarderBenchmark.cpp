// Cost of a packet at the forwarder with and without logging: open flows, many openings and floods of invalid packets.
// Lines beyond the budget of their kind are only counted, which bounds the cost of a flood.
#include "Forward/ForwardFixture.h"
#include "Forwarder/FetchProtocol.h"
#include "Forwarder/ForwarderLog.h"
#include "Forwarder/StoreUpdateApplier.h"
#include "Wire/Compression.h"
#include "Wire/PeerMessageCodec.h"
#include "platform/Adapter.h"

#include <benchmark/benchmark.h>

#include <array>
#include <cstdint>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace wisteriadock {
namespace {

    // Formats log lines and writes them to /dev/null.
    struct LoggingForwarder : ForwardFixture {
        explicit LoggingForwarder(LogLevel level, std::uint32_t budget, std::uint64_t servers = 20)
            : descriptor(::open("/dev/null", O_WRONLY | O_CLOEXEC))
            , events({ "edge-1", "walu", 1 }, descriptor, budget)
            , log(events)
        {
            events.setLevel(level);
            router.applyConfiguration(configuration(3));
            const std::array<std::string, 5> zones { "walu", "laucala", "nabua", "samabula", "raiwai" };
            for (std::uint64_t number = 1; number <= servers; ++number)
                put(server(number, "tryon", servers > 20 ? zones[number % zones.size()] : "walu"));
        }
        ~LoggingForwarder() { ::close(descriptor); }
        LoggingForwarder(const LoggingForwarder&) = delete;
        LoggingForwarder& operator=(const LoggingForwarder&) = delete;

        void handle(const TokenPacket& packet)
        {
            const PacketDecision decision = route(packet);
            log.packet(packet, decision, "", 3, 20, clock.now());
        }

        // Ticks and flushes the log once per 1000 packets.
        void afterPacket()
        {
            clock.advance(std::chrono::microseconds(100));
            if (++packets % 1000 != 0)
                return;
            router.tick(clock.now());
            events.flush(clock.now());
        }

        int descriptor;
        EventLog events;
        ForwarderLog log;
        std::uint64_t packets = 0;
    };

    constexpr std::uint32_t unbounded = 1U << 30;

    LogLevel levelOf(const benchmark::State& state) { return state.range(0) ? LogLevel::Info : LogLevel::Error; }

    // Each packet opens a flow, and every log line is written.
    void openings(benchmark::State& state)
    {
        LoggingForwarder forwarder(levelOf(state), unbounded);
        std::uint32_t caller = 0;
        for (auto _ : state) {
            forwarder.handle(ForwardFixture::opening(++caller & 0xFFFFF));
            forwarder.afterPacket();
        }
        state.counters["lines"] = static_cast<double>(forwarder.events.buffer().lines());
    }

    // As openings(), with the default budget of log lines per second.
    void openingsWithinBudget(benchmark::State& state)
    {
        LoggingForwarder forwarder(levelOf(state), EventLog::defaultBudget);
        std::uint32_t caller = 0;
        for (auto _ : state) {
            forwarder.handle(ForwardFixture::opening(++caller & 0xFFFFF));
            forwarder.afterPacket();
        }
    }

    // Each packet opens a flow of a service with this many servers in five availability zones.
    void openingsAmongManyServers(benchmark::State& state)
    {
        LoggingForwarder forwarder(LogLevel::Error, unbounded, static_cast<std::uint64_t>(state.range(0)));
        std::uint32_t caller = 0;
        for (auto _ : state) {
            benchmark::DoNotOptimize(forwarder.openFlow(++caller & 0xFFFFF));
            forwarder.clock.advance(std::chrono::milliseconds(500));
        }
    }

    // A tick of a forwarder that knows this many servers and has a few open flows.
    void ticksAmongManyServers(benchmark::State& state)
    {
        LoggingForwarder forwarder(LogLevel::Error, unbounded, static_cast<std::uint64_t>(state.range(0)));
        for (std::uint32_t caller = 1; caller <= 5; ++caller)
            forwarder.openFlow(caller);
        for (auto _ : state) {
            forwarder.clock.advance(std::chrono::milliseconds(250));
            forwarder.router.tick(forwarder.clock.now());
        }
    }

    // A server registers and another one leaves, and a flow opens, among this many servers.
    void changesAmongManyServers(benchmark::State& state)
    {
        const auto servers = static_cast<std::uint64_t>(state.range(0));
        LoggingForwarder forwarder(LogLevel::Error, unbounded, servers);
        std::uint64_t next = servers;
        for (auto _ : state) {
            forwarder.put(ForwardFixture::server(++next));
            forwarder.router.removeServer(ForwardFixture::server(next - servers).id, false, forwarder.clock.now());
            benchmark::DoNotOptimize(forwarder.openFlow(static_cast<std::uint32_t>(next) & 0xFFFFF));
            forwarder.clock.advance(std::chrono::milliseconds(500));
            forwarder.router.tick(forwarder.clock.now());
        }
    }

    // A forwarder that has just started receives the entries of this many servers from a balancer and applies them.
    void firstListing(benchmark::State& state)
    {
        const std::array<std::string, 5> zones { "walu", "laucala", "nabua", "samabula", "raiwai" };
        StoreDelta listing { 0, 1, true, false, {} };
        for (std::uint64_t i = 1; i <= static_cast<std::uint64_t>(state.range(0)); ++i) {
            RegisteredServer server = ForwardFixture::server(i * 7919, "tryon", zones[i % zones.size()]);
            server.startedAt = 1'770'000'000'000 + i;
            server.softwareVersion = "1.7";
            listing.items.push_back(
                { platform::serverKeyOf(server.id), platform::encodeServer(server), ++listing.to, false });
        }
        const std::vector<std::uint8_t> bytes = encodeMessage(listing);
        const std::string compressed = compressBytes({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
        for (auto _ : state) {
            LoggingForwarder forwarder(LogLevel::Info, EventLog::defaultBudget, 0);
            ForwarderMetrics metrics;
            StoreUpdateApplier<platform::Adapter> applier(forwarder.router, forwarder.log, metrics);
            ReplicaSync sync("walu", 1);
            HttpResponse response { 200, { { "content-encoding", "zstd" } }, compressed };
            auto delta = deltaOf(response);
            for (const ReplicaSyncAction& action :
                sync.handleAnswer("edge-2", std::move(delta).value(), forwarder.clock.now())) {
                if (const auto* changed = std::get_if<ReplicaChanged>(&action))
                    applier.apply(*changed, forwarder.clock.now());
            }
        }
        state.counters["bytes"] = static_cast<double>(compressed.size());
    }

    void packetsOfOpenFlows(benchmark::State& state)
    {
        LoggingForwarder forwarder(levelOf(state), EventLog::defaultBudget);
        const std::uint32_t token = forwarder.openFlow(1);
        std::uint32_t sequence = 1001;
        for (auto _ : state) {
            forwarder.handle(ForwardFixture::data(1, token, sequence += 100));
            forwarder.afterPacket();
        }
    }

    void floodOfUnknownTokens(benchmark::State& state)
    {
        LoggingForwarder forwarder(levelOf(state), EventLog::defaultBudget);
        std::uint32_t token = 0x10000000;
        for (auto _ : state) {
            forwarder.handle(ForwardFixture::data(1, ++token));
            forwarder.afterPacket();
        }
    }

    void floodOfMalformedPackets(benchmark::State& state)
    {
        LoggingForwarder forwarder(levelOf(state), EventLog::defaultBudget);
        const std::array<std::uint8_t, 20> datagram {};
        for (auto _ : state) {
            if (!platform::Adapter::decodePacket(datagram))
                forwarder.log.malformed(datagram.size(), { 0x64400001, 40001 }, forwarder.clock.now());
            forwarder.afterPacket();
        }
    }

    // Argument: 1 with logging, 0 at a level that writes none of these lines.
    BENCHMARK(openings)->Arg(0)->Arg(1);
    BENCHMARK(openingsWithinBudget)->Arg(0)->Arg(1);
    BENCHMARK(openingsAmongManyServers)->Arg(200)->Arg(2000)->Arg(10000)->Arg(20000);
    BENCHMARK(ticksAmongManyServers)->Arg(200)->Arg(2000)->Arg(10000)->Arg(20000);
    BENCHMARK(changesAmongManyServers)->Arg(200)->Arg(2000)->Arg(10000)->Arg(20000);
    BENCHMARK(firstListing)->Arg(300)->Arg(10000)->Unit(benchmark::kMillisecond);
    BENCHMARK(packetsOfOpenFlows)->Arg(0)->Arg(1);
    BENCHMARK(floodOfUnknownTokens)->Arg(0)->Arg(1);
    BENCHMARK(floodOfMalformedPackets)->Arg(0)->Arg(1);

}
}

BENCHMARK_MAIN();
