#include "Model/ModelScenario.h"

#include "Core/NameTable.h"
#include "Settings/SettingsFile.h"
#include "Settings/SettingsReader.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto faultNames = makeNameTable<ModelFaultKind>({
        { ModelFaultKind::PowerLossOfAll, "power_of_all" },
        { ModelFaultKind::Kill, "kill" },
        { ModelFaultKind::ServersCrash, "servers_die" },
        { ModelFaultKind::ServersSlow, "servers_slow" },
        { ModelFaultKind::Overload, "overload" },
        { ModelFaultKind::Shift, "shift" },
        { ModelFaultKind::PlannedStop, "stop" },
    });

    // Limits that keep the time and memory of a run bounded.
    constexpr std::uint32_t maxZones = 20;
    constexpr std::uint32_t maxPerZone = 2000;
    constexpr double maxRequestsPerSecond = 1e6;
    constexpr std::chrono::milliseconds maxDuration = 1h;

    void readFleet(SettingsReader& reader, ModelScenario& scenario)
    {
        SectionReader& fleet = reader.section("fleet", Presence::Required);
        fleet.integer<std::uint32_t>("availability_zones", scenario.zones, 1, maxZones);
        fleet.integer<std::uint32_t>("forwarders_per_zone", scenario.forwardersPerZone, 1, maxPerZone);
        fleet.integer<std::uint32_t>("callers_per_zone", scenario.callersPerZone, 1, 100 * maxPerZone);
        fleet.number("closing_share", scenario.closingShare, 0, 1);
        fleet.milliseconds("start_milliseconds", scenario.startTime, 0ms, maxDuration);
        fleet.milliseconds("start_spread_milliseconds", scenario.startSpread, 0ms, maxDuration);
        fleet.milliseconds("news_milliseconds", scenario.propagationDelay, 0ms, maxDuration);
        fleet.milliseconds("heartbeat_milliseconds", scenario.heartbeat, 1ms, maxDuration);
        const auto microseconds = [&](std::string_view key, std::chrono::microseconds& target) {
            std::int64_t value = target.count();
            fleet.integer<std::int64_t>(key, value, 0, 1'000'000);
            target = std::chrono::microseconds(value);
        };
        microseconds("packet_microseconds", scenario.packetTime);
        microseconds("caller_delay_microseconds", scenario.callerDelay);
        microseconds("zone_delay_microseconds", scenario.zoneDelay);
        microseconds("cross_zone_delay_microseconds", scenario.crossZoneDelay);
    }

    ModelService readService(SectionReader& section)
    {
        ModelService service;
        service.name = section.instanceName();
        section.integer<std::uint32_t>("servers_per_zone", service.serversPerZone, 1, maxPerZone);
        section.integer<std::uint32_t>("slots", service.slots, 1, 10000);
        section.integer<std::uint32_t>("queue", service.queue, 0, 100000);
        return service;
    }

    ModelRequestKind readRequestKind(SectionReader& section, const std::vector<ModelService>& services)
    {
        ModelRequestKind kind;
        kind.name = section.instanceName();
        section.name("service", kind.service, Presence::Required);
        if (section.has("service") && std::ranges::count(services, kind.service, &ModelService::name) == 0)
            section.addProblem("service", "the name of a [service NAME]");
        section.number("per_second", kind.perSecond, 0, maxRequestsPerSecond);
        section.number("work_milliseconds", kind.workMilliseconds, 0.01, 60000);
        section.number("spread", kind.spread, 0, 3);
        section.milliseconds("aim_milliseconds", kind.targetLatency, 1ms, maxDuration);
        section.milliseconds("budget_milliseconds", kind.budget, 1ms, maxDuration);
        section.number("worth", kind.worth, 0, 1000);
        section.number("late_worth", kind.lateWorth, 0, 1000);
        section.boolean("keeps_flows", kind.keepsFlows);
        section.boolean("idempotent", kind.isIdempotent);
        section.integer<std::uint32_t>("retries", kind.retries, 0, 10);
        return kind;
    }

    ModelFault readFault(SectionReader& section, std::chrono::milliseconds length)
    {
        ModelFault fault;
        fault.name = section.instanceName();
        if (!section.has("kind"))
            section.addProblem("kind", "a kind of fault");
        section.enumeration("kind", fault.kind, faultNames);
        section.milliseconds("at_milliseconds", fault.at, 0ms, length);
        section.milliseconds("length_milliseconds", fault.length, 0ms, maxDuration);
        section.number("share", fault.share, 0, 1);
        section.number("factor", fault.factor, 0.01, 1000);
        return fault;
    }

}

std::string_view nameOf(ModelFaultKind kind) { return faultNames.name(kind); }

Result<ModelScenario> ModelScenario::parse(const std::string& file, const std::string& text)
{
    const IniDocument document = IniDocument::parse(file, text);
    SettingsReader reader(document);
    ModelScenario scenario;
    reader.section("run").milliseconds("length_milliseconds", scenario.length, 1s, maxDuration);
    readFleet(reader, scenario);
    for (SectionReader* section : reader.sectionsOf("service"))
        scenario.services.push_back(readService(*section));
    for (SectionReader* section : reader.sectionsOf("requests"))
        scenario.requestKinds.push_back(readRequestKind(*section, scenario.services));
    for (SectionReader* section : reader.sectionsOf("fault"))
        scenario.faults.push_back(readFault(*section, scenario.length));
    if (scenario.requestKinds.empty())
        reader.addProblem("at least one [requests NAME]");
    const SettingsProblems problems = reader.finish();
    if (!problems.isEmpty())
        return problems.toError();
    return scenario;
}

Result<ModelScenario> ModelScenario::load(const std::string& path)
{
    BOOST_OUTCOME_TRY(text, readFile(path));
    return parse(path, text);
}

}
