#include "Balancer/BalancerSettings.h"

#include "Core/ListenAddress.h"
#include "Core/NameTable.h"
#include "Settings/SettingsFile.h"
#include "Settings/SettingsReader.h"

#include <fmt/format.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr unsigned maxPacketThreads = 64;
    constexpr std::uint32_t maxShards = 4096;
    constexpr std::size_t maxTrackedFlows = 100'000'000;
    constexpr std::uint32_t maxTransitionBytes = 1U << 30;
    constexpr std::int64_t maxHeaderBytes = 1 << 20;
    constexpr std::int64_t maxBodyBytes = 1 << 30;
    constexpr std::uint32_t maxStreams = 100'000;
    constexpr std::size_t maxConnections = 1'000'000;
    constexpr auto maxDuration = 3'600'000ms;
    constexpr std::int64_t maxRetentionSeconds = 604'800;

    void readListenAddress(SectionReader& section, std::string_view key, Endpoint& target)
    {
        std::string text;
        section.text(key, text, Presence::Required);
        if (text.empty())
            return;
        if (const auto endpoint = parseListenAddress(text))
            target = endpoint.value();
        else
            section.addProblem(key, "ADDRESS:PORT such as 192.0.2.1:443, with port 0 for any free one");
    }

    void readListenAddresses(SettingsReader& reader, BalancerAddresses& listen)
    {
        SectionReader& section = reader.section("listen", Presence::Required);
        readListenAddress(section, "flow", listen.flow);
        readListenAddress(section, "peer", listen.peer);
        readListenAddress(section, "request", listen.request);
        readListenAddress(section, "metrics", listen.metrics);
    }

    // A balancer that listens on 0.0.0.0 must advertise an address that others can send to.
    void requireAdvertisedAddress(SectionReader& section, std::string_view key, Endpoint listen, Endpoint advertised)
    {
        const bool listensOnAll = listen.address == 0 && listen != Endpoint {};
        if (listensOnAll && !advertised.isSet())
            section.addProblem(key, "an address that others can reach, since [listen] names all addresses");
    }

    void readAdvertisedAddresses(SettingsReader& reader, BalancerSettings& settings)
    {
        SectionReader& section = reader.section("advertise");
        BalancerAddresses& advertise = settings.advertise;
        section.endpoint("flow", advertise.flow);
        section.endpoint("peer", advertise.peer);
        section.endpoint("request", advertise.request);
        requireAdvertisedAddress(section, "flow", settings.listen.flow, advertise.flow);
        requireAdvertisedAddress(section, "peer", settings.listen.peer, advertise.peer);
        requireAdvertisedAddress(section, "request", settings.listen.request, advertise.request);
    }

    void readFlowPolicy(SectionReader& section, FlowPolicy& policy)
    {
        std::string text(nameOf(policy));
        section.text("policy", text);
        if (const auto parsed = parseFlowPolicy(text))
            policy = parsed.value();
        else
            section.addProblem("policy", "protected, modulo, consistent_hash or bounded_loads");
    }

    void readFlowSettings(SettingsReader& reader, FlowSettings& flow)
    {
        SectionReader& section = reader.section("flow");
        readFlowPolicy(section, flow.policy);
        section.integer<std::uint32_t>("shards_per_service", flow.shardsPerService, 1, maxShards);
        std::int64_t trackedFlows = static_cast<std::int64_t>(flow.trackedFlows);
        section.integer<std::int64_t>("tracked_flows", trackedFlows, 0, maxTrackedFlows);
        flow.trackedFlows = static_cast<std::size_t>(trackedFlows);
        section.integer<std::uint32_t>(
            "transition_bytes_per_second", flow.transitionBytesPerSecond, 1024, maxTransitionBytes);
        section.milliseconds("bootstrap_wait_milliseconds", flow.bootstrapWait, 0ms, maxDuration);
        section.milliseconds("report_patience_milliseconds", flow.reportTimeout, 10ms, maxDuration);
        section.milliseconds("retry_interval_milliseconds", flow.retryInterval, 10ms, maxDuration);
        section.milliseconds("pause_threshold_milliseconds", flow.pauseThreshold, 100ms, maxDuration);
        std::int64_t retention = flow.retiredServerRetention.count();
        section.integer<std::int64_t>("retired_server_retention_seconds", retention, 0, maxRetentionSeconds);
        flow.retiredServerRetention = std::chrono::seconds(retention);
    }

    void readSize(SectionReader& section, std::string_view key, std::size_t& target, std::int64_t min, std::int64_t max)
    {
        std::int64_t value = static_cast<std::int64_t>(target);
        section.integer<std::int64_t>(key, value, min, max);
        target = static_cast<std::size_t>(value);
    }

    void readZones(SectionReader& section, const std::string& ownZone, std::vector<std::string>& zones)
    {
        std::string text;
        section.text("availability_zones", text);
        while (!text.empty()) {
            const std::size_t comma = std::min(text.find(','), text.size());
            const std::size_t first = std::min(text.find_first_not_of(' '), comma);
            const std::size_t last = text.find_last_not_of(' ', comma == 0 ? 0 : comma - 1);
            const std::string zone = text.substr(first, last == std::string::npos ? 0 : last + 1 - first);
            text.erase(0, comma + 1);
            const bool isNew = std::ranges::find(zones, zone) == zones.end();
            if (!isName(zone) || zone.find('.') != std::string::npos || !isNew) {
                section.addProblem("availability_zones", "names without dots, separated by commas, each once");
                return;
            }
            zones.push_back(zone);
        }
        if (!zones.empty() && std::ranges::find(zones, ownZone) == zones.end())
            section.addProblem("availability_zones", fmt::format("a list that contains the own zone, {}", ownZone));
    }

    void readAtMostOnce(SectionReader& section, BalancerSettings& settings)
    {
        constexpr auto switchNames = makeNameTable<bool>({ { false, "off" }, { true, "on" } });
        constexpr auto policyNames = makeNameTable<RequestPolicy>({
            { RequestPolicy::Default, "default" },
            { RequestPolicy::BlindRetry, "blind_retry" },
        });
        section.enumeration("at_most_once", settings.isAtMostOnce, switchNames);
        section.enumeration("policy", settings.requestPolicy, policyNames);
        readZones(section, settings.availabilityZone, settings.availabilityZones);
    }

    void readRequestSettings(SettingsReader& reader, BalancerSettings& settings)
    {
        SectionReader& section = reader.section("request");
        readAtMostOnce(section, settings);
        Http2Limits& limits = settings.requestLimits;
        readSize(section, "header_bytes", limits.headerBytes, 1024, maxHeaderBytes);
        readSize(section, "body_bytes", limits.bodyBytes, 0, maxBodyBytes);
        section.integer<std::uint32_t>("concurrent_streams", limits.concurrentStreams, 1, maxStreams);
        readSize(section, "connections", limits.connections, 1, maxConnections);
        section.milliseconds("connect_timeout_milliseconds", limits.connectTimeout, 10ms, 60'000ms);
        section.milliseconds("default_deadline_milliseconds", settings.defaultDeadline, 1ms, maxDuration);
        section.milliseconds("longest_deadline_milliseconds", settings.maxDeadline, 1ms, maxDuration);
        if (settings.defaultDeadline > settings.maxDeadline) {
            section.addProblem("default_deadline_milliseconds",
                fmt::format("at most longest_deadline_milliseconds, {}", settings.maxDeadline.count()));
        }
    }

    void readLogLevel(SettingsReader& reader, LogLevel& level)
    {
        SectionReader& section = reader.section("log");
        std::string text(nameOf(level));
        section.text("level", text);
        if (const auto parsed = parseLogLevel(text))
            level = parsed.value();
        else
            section.addProblem("level", "debug, info, warning or error");
    }

    void readDrain(SettingsReader& reader, std::chrono::seconds& drain)
    {
        std::int64_t seconds = drain.count();
        reader.section("drain").integer<std::int64_t>("seconds", seconds, 0, 3600);
        drain = std::chrono::seconds(seconds);
    }

}

BalancerSettings BalancerSettings::parse(std::string file, std::string_view text, SettingsProblems& problems)
{
    const IniDocument document = IniDocument::parse(std::move(file), text);
    SettingsReader reader(document);
    BalancerSettings settings;

    SectionReader& balancer = reader.section("balancer", Presence::Required);
    balancer.name("name", settings.name, Presence::Required);
    balancer.name("availability_zone", settings.availabilityZone, Presence::Required);
    balancer.integer<std::uint32_t>("seed", settings.seed, 0, std::numeric_limits<std::uint32_t>::max());
    readListenAddresses(reader, settings.listen);
    readAdvertisedAddresses(reader, settings);
    reader.section("platform", Presence::Required).endpoint("address", settings.platform, Presence::Required);
    reader.section("peers").endpoints("seeds", settings.seeds);
    readFlowSettings(reader, settings.flow);
    reader.section("threads").integer<unsigned>("packet", settings.packetThreads, 1, maxPacketThreads);
    readRequestSettings(reader, settings);
    readDrain(reader, settings.drain);
    readLogLevel(reader, settings.logLevel);

    problems.addAll(reader.finish());
    return settings;
}

Result<BalancerSettings> BalancerSettings::load(const std::string& path)
{
    BOOST_OUTCOME_TRY(text, readFile(path));
    SettingsProblems problems;
    BalancerSettings settings = parse(path, text, problems);
    if (!problems.isEmpty())
        return problems.toError();
    return settings;
}

}
