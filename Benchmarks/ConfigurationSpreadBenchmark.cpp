// Cost of one configuration change at a forwarder, by the number of routes: reading the response of the store,
// compressing it for peers, decompressing, decoding and applying it.
#include "Forward/ForwardFixture.h"
#include "StoreSync/CompressedValue.h"
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

    StoreUpdate updateOf(std::uint64_t version, std::size_t routes)
    {
        return { "configuration", platform::encodeConfiguration(configurationOf(version, routes)), version, false };
    }

    void decodeStoreResponse(benchmark::State& state)
    {
        HttpResponse response;
        response.status = 200;
        const StoreUpdate update = updateOf(7, static_cast<std::size_t>(state.range(0)));
        response.body = platform::encodeChanges({ { { update.key, update.value, 7 } }, 7 });
        const HttpOutcome outcome = response;
        for (auto _ : state)
            benchmark::DoNotOptimize(platform::StoreCodec::decode(ChangesCall {}, outcome));
        state.counters["bytes"] = static_cast<double>(response.body.size());
    }

    void compressForPeers(benchmark::State& state)
    {
        const StoreUpdate update = updateOf(7, static_cast<std::size_t>(state.range(0)));
        std::size_t bytes = 0;
        for (auto _ : state) {
            StoreUpdate compressed = update;
            compressValue(compressed);
            bytes = compressed.value.size();
        }
        state.counters["bytes"] = static_cast<double>(bytes);
    }

    void decompress(benchmark::State& state)
    {
        StoreUpdate update = updateOf(7, static_cast<std::size_t>(state.range(0)));
        compressValue(update);
        for (auto _ : state)
            benchmark::DoNotOptimize(plainValue(update));
    }

    void decode(benchmark::State& state)
    {
        const StoreUpdate update = updateOf(7, static_cast<std::size_t>(state.range(0)));
        for (auto _ : state)
            benchmark::DoNotOptimize(platform::decodeConfiguration(update.value));
    }

    // Alternates between two versions that differ in one route.
    void applyOneChangedRoute(benchmark::State& state)
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

    void replaceRoutes(benchmark::State& state)
    {
        RouteTable table;
        ForwardingConfiguration configuration = configurationOf(7, static_cast<std::size_t>(state.range(0)));
        for (auto _ : state)
            table.replace(configuration);
    }

    // makePatch is the work of the watcher for one changed version, applyOnePatch that of a receiver.
    void makePatch(benchmark::State& state)
    {
        const StoreUpdate previous = updateOf(7, static_cast<std::size_t>(state.range(0)));
        const StoreUpdate update = updateOf(8, static_cast<std::size_t>(state.range(0)));
        std::size_t bytes = 0;
        for (auto _ : state)
            bytes = patchBytes(previous.value, update.value)->size();
        state.counters["bytes"] = static_cast<double>(bytes);
    }

    void applyOnePatch(benchmark::State& state)
    {
        const StoreUpdate previous = updateOf(7, static_cast<std::size_t>(state.range(0)));
        const StoreUpdate update = updateOf(8, static_cast<std::size_t>(state.range(0)));
        const ValuePatch patch { update.key, 7, 8, *patchBytes(previous.value, update.value) };
        for (auto _ : state)
            benchmark::DoNotOptimize(applyPatch(previous.value, patch));
    }

    BENCHMARK(makePatch)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(applyOnePatch)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(decodeStoreResponse)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(compressForPeers)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(decompress)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(decode)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(applyOneChangedRoute)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);
    BENCHMARK(replaceRoutes)->Arg(100)->Arg(1400)->Arg(10000)->Unit(benchmark::kMicrosecond);

}
}

BENCHMARK_MAIN();
