#include "Forwarder/ForwarderSettings.h"

#include "Settings/SettingsFile.h"
#include "Settings/SettingsReader.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr std::uint32_t maxLogBudget = 1'000'000;
    constexpr double maxSeconds = 86'400;
    constexpr double maxFactor = 1000;
    constexpr std::uint32_t maxGroupSize = 1'000'000;
    // Flows per second.
    constexpr double maxSlack = 1e9;
    constexpr double maxLinkMegabits = 1e9;
    constexpr std::chrono::milliseconds minTimeout { 1 };
    // The timer that sends reports ticks every 250 ms, and what is received expires after 2 s.
    constexpr std::chrono::milliseconds minLoadReportInterval { 250 };
    constexpr std::chrono::milliseconds maxLoadReportInterval { 1000 };
    // A shorter bound leaves no time for the twelfth of it in which others have to answer.
    constexpr std::chrono::milliseconds minStaleness { 1000 };
    // A day effectively disables a timeout.
    constexpr std::chrono::milliseconds maxTimeout { 86'400'000 };

    void readAddresses(SettingsReader& reader, ForwarderSettings& settings)
    {
        SectionReader& listen = reader.section("listen", Presence::Required);
        listen.endpoint("flow", settings.flow, Presence::Required);
        listen.endpoint("ready", settings.ready, Presence::Required);
        listen.endpoint("peer", settings.peer, Presence::Required);
        listen.endpoint("metrics", settings.metrics);
        reader.section("store", Presence::Required).endpoint("address", settings.store, Presence::Required);
        reader.section("peers").endpoints("seed_vms", settings.seeds);
    }

    // Reads a duration in seconds, which may have a fraction.
    void readSeconds(SectionReader& section, std::string_view key, std::chrono::milliseconds& target, double minimum)
    {
        double seconds = std::chrono::duration<double>(target).count();
        section.number(key, seconds, minimum, maxSeconds);
        target = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    }

    // Reads a bound in milliseconds, which may have a fraction; 0 for none.
    void readStaleness(SectionReader& section, std::string_view key, std::chrono::milliseconds& target)
    {
        auto milliseconds = static_cast<double>(target.count());
        section.number(key, milliseconds, 0, static_cast<double>(maxTimeout.count()));
        if (milliseconds > 0 && milliseconds < static_cast<double>(minStaleness.count()))
            section.addProblem(key, "0, or a number from 1000 to 86400000");
        else
            target = std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
    }

    void readOpening(SettingsReader& reader, OpeningSettings& opening)
    {
        SectionReader& section = reader.section("opening");
        const auto factor = [&](std::string_view key, float& target, double minimum) {
            double value = static_cast<double>(target);
            section.number(key, value, minimum, maxFactor);
            target = static_cast<float>(value);
        };
        factor("load_weight", opening.loadWeight, 0);
        factor("zone_penalty", opening.zonePenalty, 0);
        factor("idle_flow_weight", opening.idleFlowWeight, 0);
        factor("cold_factor", opening.coldFactor, 1);
        factor("failing_penalty", opening.failingPenalty, 0);
        section.integer<std::uint32_t>("silent_servers_of_a_group", opening.groupEjectionThreshold, 0, maxGroupSize);
        section.milliseconds("patience_milliseconds", opening.openingTimeout, minTimeout, maxTimeout);
        section.milliseconds("zone_proof_milliseconds", opening.zoneLivenessTimeout, minTimeout, maxTimeout);
    }

    void readLoad(SettingsReader& reader, ForwarderSettings& settings)
    {
        SectionReader& section = reader.section("load");
        constexpr std::string_view key = "report_interval_milliseconds";
        section.milliseconds(key, settings.loadReportInterval, std::chrono::milliseconds(0), maxLoadReportInterval);
        if (settings.loadReportInterval.count() != 0 && settings.loadReportInterval < minLoadReportInterval)
            section.addProblem(key, "0, or 250 to 1000");
        section.milliseconds("acknowledgement_delay_milliseconds", settings.acknowledgementDelay,
            std::chrono::milliseconds(0), maxLoadReportInterval);
    }

    void readOverload(SettingsReader& reader, ForwarderSettings& settings)
    {
        SectionReader& section = reader.section("overload");
        section.boolean("priority_admission", settings.overload.priorityAdmission);
        section.boolean("zone_spillover", settings.overload.zoneSpillover);
        if (settings.loadReportInterval.count() != 0)
            return;
        if (settings.overload.priorityAdmission)
            section.addProblem("priority_admission", "false without load.report_interval_milliseconds");
        if (settings.overload.zoneSpillover)
            section.addProblem("zone_spillover", "false without load.report_interval_milliseconds");
    }

    void readLog(SettingsReader& reader, ForwarderSettings& settings)
    {
        SectionReader& section = reader.section("log");
        std::string text(nameOf(settings.logLevel));
        section.text("level", text);
        if (const auto parsed = parseLogLevel(text))
            settings.logLevel = parsed.value();
        else
            section.addProblem("level", "debug, info, warning or error");
        section.integer<std::uint32_t>("lines_per_second_and_kind", settings.logBudget, 1, maxLogBudget);
    }

}

Result<ForwarderSettings> ForwarderSettings::parse(const std::string& file, const std::string& text)
{
    const IniDocument document = IniDocument::parse(file, text);
    SettingsReader reader(document);
    ForwarderSettings settings;
    SectionReader& forwarder = reader.section("forwarder", Presence::Required);
    forwarder.name("vm", settings.vm, Presence::Required);
    forwarder.name("availability_zone", settings.availabilityZone, Presence::Required);
    readAddresses(reader, settings);
    SectionReader& limits = reader.section("limits");
    readSeconds(limits, "longest_flow_seconds", settings.longestFlow, 1);
    readSeconds(limits, "grace_seconds", settings.grace, 0);
    double linkMegabits = settings.linkMegabits;
    limits.number("link_megabits_per_second", linkMegabits, 0, maxLinkMegabits);
    settings.linkMegabits = static_cast<std::uint32_t>(linkMegabits);
    readStaleness(limits, "max_replica_staleness_milliseconds", settings.maxReplicaStaleness);
    readStaleness(limits, "max_drain_staleness_milliseconds", settings.maxDrainStaleness);
    limits.number("cold_overage", settings.coldStart.overage, 0, maxFactor);
    limits.number("cold_slack_flows", settings.coldStart.slack, 0, maxSlack);
    readOpening(reader, settings.opening);
    readLoad(reader, settings);
    readOverload(reader, settings);
    readLog(reader, settings);
    const SettingsProblems problems = reader.finish();
    if (!problems.isEmpty())
        return problems.toError();
    return settings;
}

Result<ForwarderSettings> ForwarderSettings::load(const std::string& path)
{
    BOOST_OUTCOME_TRY(text, readFile(path));
    return parse(path, text);
}

std::chrono::milliseconds ForwarderSettings::stalenessBound() const
{
    const bool hasBoth = maxReplicaStaleness.count() > 0 && maxDrainStaleness.count() > 0;
    return hasBoth ? std::min(maxReplicaStaleness, maxDrainStaleness)
                   : std::max(maxReplicaStaleness, maxDrainStaleness);
}

std::vector<std::string> ForwarderSettings::differencesThatNeedRestart(const ForwarderSettings& other) const
{
    std::vector<std::string> names;
    const auto compare = [&](bool isSame, const char* name) {
        if (!isSame)
            names.emplace_back(name);
    };
    compare(vm == other.vm, "forwarder.vm");
    compare(availabilityZone == other.availabilityZone, "forwarder.availability_zone");
    compare(flow == other.flow, "listen.flow");
    compare(ready == other.ready, "listen.ready");
    compare(peer == other.peer, "listen.peer");
    compare(metrics == other.metrics, "listen.metrics");
    compare(store == other.store, "store.address");
    compare(opening == other.opening, "opening");
    compare(overload == other.overload, "overload");
    compare(coldStart == other.coldStart, "limits.cold_overage, limits.cold_slack_flows");
    compare(loadReportInterval == other.loadReportInterval, "load.report_interval_milliseconds");
    compare(acknowledgementDelay == other.acknowledgementDelay, "load.acknowledgement_delay_milliseconds");
    compare(linkMegabits == other.linkMegabits, "limits.link_megabits_per_second");
    compare(stalenessBound() == other.stalenessBound(),
        "limits.max_replica_staleness_milliseconds, limits.max_drain_staleness_milliseconds");
    compare(longestFlow == other.longestFlow, "limits.longest_flow_seconds");
    return names;
}

}
