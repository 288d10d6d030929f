// Processor time and memory for reading one version of the configuration, by the number of backend servers, with five
// servers per service.
#include "Configuration/ConfigurationContent.h"
#include "Configuration/ConfigurationDiff.h"
#include "Configuration/ConfigurationHead.h"
#include "Configuration/ConfigurationParser.h"
#include "Configuration/ConfigurationWriter.h"
#include "Configuration/HeadReader.h"
#include "KeyValue/PlatformJson.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <malloc.h>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace wisteriadock {
namespace {

    constexpr std::size_t serversPerService = 5;
    constexpr std::size_t availabilityZones = 8;
    constexpr std::uint32_t firstServiceAddress = 0xC6120000;
    constexpr std::uint32_t firstServerAddress = 0x0A000000;
    constexpr std::uint16_t servicePort = 443;
    constexpr std::uint16_t flowPort = 7000;
    constexpr std::uint16_t requestPort = 8000;
    constexpr std::uint64_t firstVersion = 1000;
    const std::string fileName = "benchmark.ini";

    // Pads the numbers so that names sort in numeric order.
    Configuration makeConfiguration(std::size_t servers)
    {
        Configuration configuration;
        for (std::size_t i = 0; i < servers; ++i) {
            if (i % serversPerService == 0) {
                Service service;
                service.name = fmt::format("service-{:05}", i / serversPerService);
                service.id = serviceIdOf(service.name);
                service.address
                    = { firstServiceAddress + static_cast<std::uint32_t>(i / serversPerService), servicePort };
                configuration.services.push_back(service);
            }
            const auto address = firstServerAddress + static_cast<std::uint32_t>(i);
            BackendServer server;
            server.name = fmt::format("{}-{}", configuration.services.back().name, i % serversPerService);
            server.id = backendServerIdOf(server.name);
            server.service = configuration.services.back().id;
            server.flowAddress = { address, flowPort };
            server.requestAddress = { address, requestPort };
            server.availabilityZone = fmt::format("zone-{}", i % availabilityZones);
            configuration.backendServers.push_back(server);
        }
        return configuration;
    }

    Configuration withOneDraining(const Configuration& before)
    {
        Configuration after = before;
        after.backendServers[after.backendServers.size() / 2].state = BackendServerState::Draining;
        return after;
    }

    std::size_t heapBytes()
    {
        const auto heap = mallinfo2();
        return heap.uordblks + heap.hblkhd;
    }

    void parseAndCheck(benchmark::State& state)
    {
        const std::string text = writeConfiguration(makeConfiguration(static_cast<std::size_t>(state.range(0))));
        for (auto iteration : state) {
            const ConfigurationResult parsed = parseConfiguration(fileName, text);
            if (!parsed)
                state.SkipWithError("the configuration text is invalid");
        }
        const std::size_t before = heapBytes();
        const ConfigurationResult kept = parseConfiguration(fileName, text);
        state.counters["heap_bytes"] = static_cast<double>(heapBytes() - before);
        state.counters["text_bytes"] = static_cast<double>(text.size());
        state.counters["parts"] = static_cast<double>(contentPartCount(text.size()));
        benchmark::DoNotOptimize(kept);
    }

    void diffOfOneChange(benchmark::State& state)
    {
        const Configuration before = makeConfiguration(static_cast<std::size_t>(state.range(0)));
        const Configuration after = withOneDraining(before);
        std::size_t changes = 0;
        std::size_t bytes = 0;
        for (auto iteration : state) {
            const std::vector<ConfigurationChange> found = diffConfigurations(before, after);
            changes = found.size();
            bytes = found.empty() ? 0 : found.front().toString().size();
        }
        if (changes != 1)
            state.SkipWithError("the diff does not contain exactly one change");
        // Size of the change as text, a lower bound for a delta.
        state.counters["change_bytes"] = static_cast<double>(bytes);
    }

    // A version as the platform or another balancer holds it.
    struct StoredVersion {
        StoredVersion(const Configuration& configuration, std::uint64_t version)
        {
            const std::string text = writeConfiguration(configuration);
            ConfigurationHead made;
            made.applied = { version, fmt::format("apply-{}", version), contentHashOf(text), "benchmark" };
            made.baseVersion = version - 1;
            // Fills the list of previous applies to its limit.
            AppliedVersion earlier = made.applied;
            while (made.previousApplies.size() + 1 < maxRecordedApplies) {
                earlier.applyId = fmt::format("apply-{}", --earlier.version);
                made.previousApplies.push_back(earlier);
            }
            made.contentBytes = text.size();
            parts = splitContent(text);
            made.contentParts = parts.size();
            head = made.toJson();
        }

        std::string head;
        std::vector<std::string> parts;
    };

    bool apply(HeadReader& reader, const StoredVersion& version)
    {
        HeadAction action = reader.handleHead(version.head);
        for (const std::string& part : version.parts) {
            if (std::holds_alternative<FetchPart>(action))
                action = reader.handlePart(part);
        }
        return std::holds_alternative<PutInForce>(action);
    }

    // The work of a balancer from the arrival of a head and its parts to the parsed version.
    void applyThroughHeadReader(benchmark::State& state)
    {
        const Configuration before = makeConfiguration(static_cast<std::size_t>(state.range(0)));
        const StoredVersion first(before, firstVersion);
        const StoredVersion second(withOneDraining(before), firstVersion + 1);
        for (auto iteration : state) {
            state.PauseTiming();
            HeadReader reader;
            bool isApplied = apply(reader, first);
            state.ResumeTiming();
            isApplied = isApplied && apply(reader, second);
            if (!isApplied)
                state.SkipWithError("a version was not put in force");
        }
        state.counters["head_bytes"] = static_cast<double>(second.head.size());
    }

    // Parses the VM list of the platform, which every balancer reads periodically.
    void listOfVms(benchmark::State& state)
    {
        std::vector<Vm> vms;
        for (std::int64_t i = 0; i < state.range(0); ++i) {
            const Endpoint address { firstServerAddress + static_cast<std::uint32_t>(i), flowPort };
            vms.push_back({ fmt::format("balancer-{:05}", i),
                fmt::format("zone-{}", static_cast<std::size_t>(i) % availabilityZones), address.toString(),
                VmState::Live });
        }
        const std::string text = toJson(vms).dump();
        for (auto iteration : state) {
            const auto read = vmsOfJson(nlohmann::json::parse(text));
            if (!read)
                state.SkipWithError("the VM list could not be parsed");
        }
        state.counters["list_bytes"] = static_cast<double>(text.size());
    }

    BENCHMARK(parseAndCheck)->Arg(1200)->Arg(6000)->Arg(12000)->Unit(benchmark::kMillisecond);
    BENCHMARK(diffOfOneChange)->Arg(1200)->Arg(6000)->Arg(12000)->Unit(benchmark::kMillisecond);
    BENCHMARK(listOfVms)->Arg(100)->Arg(400)->Arg(1900)->Unit(benchmark::kMillisecond);
    BENCHMARK(applyThroughHeadReader)->Arg(1200)->Arg(6000)->Arg(12000)->Unit(benchmark::kMillisecond);

}
}

BENCHMARK_MAIN();
