#include "Configuration/ConfigurationParser.h"

#include "Configuration/ConfigurationCheck.h"
#include "Configuration/ConfigurationKeys.h"
#include "Configuration/ConfigurationLimits.h"
#include "Settings/SettingsReader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    namespace keys = configuration_keys;

    DeclaredService readService(SectionReader& section)
    {
        Service service;
        service.name = section.instanceName();
        service.id = serviceIdOf(service.name);
        section.endpoint(keys::address, service.address, Presence::Required);
        section.number(keys::evenness, service.evenness, 0, 1);
        section.number(keys::panicThreshold, service.panicThreshold, 0, 1);
        section.integer(keys::flowIdleSeconds, service.flowIdleSeconds, 1U, maxFlowIdleSeconds);
        section.number(keys::objective, service.objective, 0, maxObjective);
        return { std::move(service), &section };
    }

    DeclaredBackendServer readBackendServer(SectionReader& section)
    {
        BackendServer server;
        server.name = section.instanceName();
        server.id = backendServerIdOf(server.name);
        std::string serviceName;
        section.name(keys::service, serviceName, Presence::Required);
        if (!serviceName.empty())
            server.service = serviceIdOf(serviceName);
        section.endpoint(keys::flowAddress, server.flowAddress, Presence::Required);
        section.endpoint(keys::requestAddress, server.requestAddress, Presence::Required);
        section.name(keys::availabilityZone, server.availabilityZone, Presence::Required);
        section.integer(keys::slots, server.slots, 1U, maxSlots);
        section.integer(keys::connections, server.connections, 1U, maxConnections);
        section.integer(keys::weight, server.weight, 1U, maxWeight);
        section.enumeration(keys::state, server.state, backendServerStateNames);
        section.integer(keys::slowStartSeconds, server.slowStartSeconds, 0U, maxSlowStartSeconds);
        return { std::move(server), std::move(serviceName), &section };
    }

    template <typename Entry> void sortByName(std::vector<Entry>& entries)
    {
        std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) { return a.name < b.name; });
    }

    Configuration assemble(std::vector<DeclaredService> services, std::vector<DeclaredBackendServer> servers)
    {
        Configuration configuration;
        configuration.services.reserve(services.size());
        for (DeclaredService& declared : services)
            configuration.services.push_back(std::move(declared.service));
        configuration.backendServers.reserve(servers.size());
        for (DeclaredBackendServer& declared : servers)
            configuration.backendServers.push_back(std::move(declared.server));
        sortByName(configuration.services);
        sortByName(configuration.backendServers);
        return configuration;
    }

    SettingsProblems sizeProblem(const std::string& file, std::size_t size)
    {
        SettingsProblems problems;
        problems.add({ file, 0, {}, {}, fmt::format("{} bytes", size),
            fmt::format("a file of at most {} bytes", maxConfigurationBytes) });
        return problems;
    }

}

ConfigurationResult parseConfiguration(const std::string& file, std::string_view text)
{
    if (text.size() > maxConfigurationBytes)
        return sizeProblem(file, text.size());

    const IniDocument document = IniDocument::parse(file, text);
    SettingsReader reader(document);
    std::vector<DeclaredService> services;
    for (SectionReader* section : reader.sectionsOf(keys::service))
        services.push_back(readService(*section));
    std::vector<DeclaredBackendServer> servers;
    for (SectionReader* section : reader.sectionsOf(keys::backendServer))
        servers.push_back(readBackendServer(*section));

    checkConsistency(reader, services, servers);
    SettingsProblems problems = reader.finish();
    if (!problems.isEmpty())
        return problems;
    return assemble(std::move(services), std::move(servers));
}

}
