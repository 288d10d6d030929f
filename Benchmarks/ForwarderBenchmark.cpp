// What a packet costs the forwarder with its log and without: usual traffic, a burst of openings, storms of bad
// packets. A line beyond its kind's budget is only counted, which is what bounds a storm.
#include "Forward/ForwardFixture.h"
#include "Forwarder/ForwarderLog.h"
#include "platform/Adapter.h"

#include <benchmark/benchmark.h>

#include <array>
#include <cstdint>
#include <fcntl.h>
#include <unistd.h>

namespace wisteriadock {
namespace {

    // Lines are put together and handed to a device that takes them all.
    struct Setting : ForwardFixture {
        explicit Setting(LogLevel level, std::uint32_t budget)
            : descriptor(::open("/dev/null", O_WRONLY | O_CLOEXEC))
            , events({ "edge-1", "walu", 1 }, descriptor, budget)
            , log(events)
        {
            events.setLevel(level);
            router.applyConfiguration(configuration(3));
            for (std::uint64_t number = 1; number <= 20; ++number)
                put(server(number));
        }
        ~Setting() { ::close(descriptor); }
        Setting(const Setting&) = delete;
        Setting& operator=(const Setting&) = delete;

        void handle(const TokenPacket& packet)
        {
            const PacketDecision decision = route(packet);
            log.packet(packet, decision, "", 3, 20, clock.now());
        }

        // The daemon hands lines on four times a second; here after every thousand packets.
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

    // Each packet opens a flow: 10,000 a second, and every line is written.
    void openings(benchmark::State& state)
    {
        Setting setting(levelOf(state), unbounded);
        std::uint32_t caller = 0;
        for (auto _ : state) {
            setting.handle(ForwardFixture::opening(++caller & 0xFFFFF));
            setting.afterPacket();
        }
        state.counters["lines"] = static_cast<double>(setting.events.buffer().lines());
    }

    // The same with the usual budget of 200 lines a second.
    void openingsWithinBudget(benchmark::State& state)
    {
        Setting setting(levelOf(state), EventLog::defaultBudget);
        std::uint32_t caller = 0;
        for (auto _ : state) {
            setting.handle(ForwardFixture::opening(++caller & 0xFFFFF));
            setting.afterPacket();
        }
    }

    void packetsOfOpenFlows(benchmark::State& state)
    {
        Setting setting(levelOf(state), EventLog::defaultBudget);
        const std::uint32_t token = setting.openFlow(1);
        std::uint32_t sequence = 1001;
        for (auto _ : state) {
            setting.handle(ForwardFixture::data(1, token, sequence += 100));
            setting.afterPacket();
        }
    }

    void stormOfUnknownTokens(benchmark::State& state)
    {
        Setting setting(levelOf(state), EventLog::defaultBudget);
        std::uint32_t token = 0x10000000;
        for (auto _ : state) {
            setting.handle(ForwardFixture::data(1, ++token));
            setting.afterPacket();
        }
    }

    void stormOfMalformedPackets(benchmark::State& state)
    {
        Setting setting(levelOf(state), EventLog::defaultBudget);
        const std::array<std::uint8_t, 20> datagram {};
        for (auto _ : state) {
            if (!platform::Adapter::decodePacket(datagram))
                setting.log.malformed(datagram.size(), { 0x64400001, 40001 }, setting.clock.now());
            setting.afterPacket();
        }
    }

    // Argument 1: with the log; 0: at a level that writes none of these lines.
    BENCHMARK(openings)->Arg(0)->Arg(1);
    BENCHMARK(openingsWithinBudget)->Arg(0)->Arg(1);
    BENCHMARK(packetsOfOpenFlows)->Arg(0)->Arg(1);
    BENCHMARK(stormOfUnknownTokens)->Arg(0)->Arg(1);
    BENCHMARK(stormOfMalformedPackets)->Arg(0)->Arg(1);

}
}

BENCHMARK_MAIN();
