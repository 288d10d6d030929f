// What one change of the operators' configuration costs a forwarder, by the number of routes in force: reading the
// store's answer, packing it for others, unpacking, decoding and taking it.
#include "Forward/ForwardFixture.h"
#include "News/CompressedValue.h"
#include "platform/ConfigurationText.h"
#include "platform/StoreCodec.h"
#include "platform/StoredValues.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <cstdint>
#include <string>

namespace wisteriadock {
namespace {

    ForwardingConfiguration configurationOf(std::uint64_t version, std::size_t routes)
    {
        ForwardingConfiguration configuration { version, {}, std::chrono::seconds(15) };
        for (std::size_t i = 0; i < routes; ++i) {
            const auto number = static_cast<std::uint32_t>(i);
            configuration.routes.push_back({ fmt::format("route-{:x}", number * 2654435761U),
                { 0xC6120000 + number, 443 }, { { "service-1", 1 } }, std::chrono::milliseconds(250) });
        }
        return configuration;
    }

    StoreUpdate itemOf(std::uint64_t version, std::size_t routes)
    {
        return { "configuration", platform::encodeConfiguration(configurationOf(version, routes)), version, false };
    }

    void readAnswerOfTheStore(benchmark::State& state)
    {
        HttpResponse response;
        response.status = 200;
        const StoreUpdate item = itemOf(7, static_cast<std::size_t>(state.range(0)));
        response.body = platform::encodeChanges({ { { item.key, item.value, 7 } }, 7 });
        const HttpOutcome outcome = response;
        for (auto _ : state)
            benchmark::DoNotOptimize(platform::StoreCodec::decode(ChangesCall {}, outcome));
        state.counters["bytes"] = static_cast<double>(response.body.size());
    }

    void packForOthers(benchmark::State& state)
    {
        const StoreUpdate item = itemOf(7, static_cast<std::size_t>(state.range(0)));
        std::size_t bytes = 0;
        for (auto _ : state) {
            StoreUpdate packed = item;
            compressValue(packed);
            bytes = packed.value.size();
        }
        state.counters["bytes"] = static_cast<double>(bytes);
    }

    void unpack(benchmark::State& state)
    {
        StoreUpdate item = itemOf(7, static_cast<std::size_t>(state.range(0)));
        compressValue(item);
        for (auto _ : state)
            benchmark::DoNotOptimize(plainValue(item));
    }

    void decode(benchmark::State& state)
    {
        const StoreUpdate item = itemOf(7, static_cast<std::size_t>(state.range(0)));
        for (auto _ : state)
            benchmark::DoNotOptimize(platform::decodeConfiguration(item.value));
    }

    // Two versions by turns that differ in one route in the middle.
    void readOneChanged(benchmark::State& state)
    {
        ForwardingConfiguration configuration = configurationOf(7, static_cast<std::size_t>(state.range(0)));
        const std::string first = platform::encodeConfiguration(configuration);
        auto& route = configuration.routes[configuration.routes.size() / 2];
        route.targetLatency = std::chrono::milliseconds(400);
        const std::string second = platform::encodeConfiguration(configuration);
        platform::ConfigurationReader reader;
        RouteTable table;
        bool isFirst = false;
        for (auto _ : state) {
            isFirst = !isFirst;
            table.apply(reader.read(isFirst ? first : second).value());
        }
    }

    void take(benchmark::State& state)
    {
        RouteTable table;
        ForwardingConfiguration configuration = configurationOf(7, static_cast<std::size_t>(state.range(0)));
        for (auto _ : state)
            table.replace(configuration);
    }

    // The watcher's work for a change of one route, and a receiver's.
    void makePatch(benchmark::State& state)
    {
        const StoreUpdate former = itemOf(7, static_cast<std::size_t>(state.range(0)));
        const StoreUpdate item = itemOf(8, static_cast<std::size_t>(state.range(0)));
        std::size_t bytes = 0;
        for (auto _ : state)
            bytes = patchBytes(former.value, item.value)->size();
        state.counters["bytes"] = static_cast<double>(bytes);
    }

    void usePatch(benchmark::State& state)
    {
        const StoreUpdate former = itemOf(7, static_cast<std::size_t>(state.range(0)));
        const StoreUpdate item = itemOf(8, static_cast<std::size_t>(state.range(0)));
        const ValuePatch patch { item.key, 7, 8, *patchBytes(former.value, item.value) };
        for (auto _ : state)
            benchmark::DoNotOptimize(applyPatch(former.value, patch));
    }

    BENCHMARK(makePatch)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(usePatch)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(readAnswerOfTheStore)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(packForOthers)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(unpack)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(decode)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(readOneChanged)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(take)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);

}
}

BENCHMARK_MAIN();
