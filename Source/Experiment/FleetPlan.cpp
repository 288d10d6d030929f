#include "Experiment/FleetPlan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace wisteriadock {

namespace {

    constexpr std::array zoneNames { "walu", "laucala", "nabua" };
    // From the address range reserved for documentation (192.0.2.0/24), so that no packet can reach a real host.
    constexpr std::uint32_t firstServiceAddress = 0xC0000201;
    constexpr std::uint16_t servicePort = 7000;

    Service makeService(const char* name, std::uint32_t number)
    {
        Service service;
        service.name = name;
        service.id = serviceIdOf(name);
        service.address = { firstServiceAddress + number, servicePort };
        return service;
    }

    std::string zoneName(std::size_t index)
    {
        return index < zoneNames.size() ? zoneNames[index] : fmt::format("zone-{}", index + 1);
    }

}

FleetPlan FleetPlan::make(const ExperimentOptions& options, std::size_t spareServers)
{
    FleetPlan plan;
    plan.spareServers = spareServers;
    for (std::size_t i = 0; i < options.availabilityZones; ++i)
        plan.availabilityZones.push_back(zoneName(i));
    plan.services = { makeService("tryon", 0), makeService("scanintake", 1) };

    const std::size_t intakeServers
        = std::max<std::size_t>(1, options.backendServers / 5 + options.backendServers % 5 / 4);
    const std::size_t tryonServers = options.backendServers - intakeServers;
    const auto addServer = [&](std::size_t service, std::size_t number) {
        plan.servers.push_back({ fmt::format("{}-{:02}", plan.services[service].name, number), service,
            plan.availabilityZones[plan.servers.size() % plan.availabilityZones.size()] });
    };
    for (std::size_t i = 0; i < tryonServers; ++i)
        addServer(0, i + 1);
    for (std::size_t i = 0; i < intakeServers; ++i)
        addServer(1, i + 1);
    for (std::size_t i = 0; i < spareServers; ++i)
        addServer(0, tryonServers + i + 1);
    return plan;
}

std::vector<std::size_t> FleetPlan::serviceOfInitialServers() const
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < initialServerCount(); ++i)
        result.push_back(servers[i].service);
    return result;
}

std::string FleetPlan::callerServicesArgument() const
{
    const auto all = serviceOfInitialServers();
    std::string text;
    for (std::size_t i = 0; i < services.size(); ++i) {
        const auto share = std::count(all.begin(), all.end(), i);
        text += fmt::format(
            "{}{}@{}@{}", text.empty() ? "" : ",", services[i].name, services[i].address.toString(), share);
    }
    return text;
}

}
