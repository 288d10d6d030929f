#include "Configuration/ConfigurationWriter.h"

#include "Configuration/ConfigurationKeys.h"

#include <fmt/format.h>

#include <iterator>
#include <unordered_map>

namespace wisteriadock {

namespace {

    namespace keys = configuration_keys;

    void writeSection(
        std::string& text, std::string_view kind, std::string_view name, const std::vector<ConfigurationField>& fields)
    {
        fmt::format_to(std::back_inserter(text), "{}[{} {}]\n", text.empty() ? "" : "\n", kind, name);
        for (const ConfigurationField& field : fields)
            fmt::format_to(std::back_inserter(text), "{} = {}\n", field.key, field.value);
    }

}

std::vector<ConfigurationField> fieldsOf(const Service& service)
{
    // fmt prints the shortest text that reads back as the same number.
    return {
        { keys::address, service.address.toString() },
        { keys::evenness, fmt::format("{}", service.evenness) },
        { keys::panicThreshold, fmt::format("{}", service.panicThreshold) },
        { keys::flowIdleSeconds, fmt::format("{}", service.flowIdleSeconds) },
        { keys::objective, fmt::format("{}", service.objective) },
    };
}

std::vector<ConfigurationField> fieldsOf(const BackendServer& server, std::string_view serviceName)
{
    return {
        { keys::service, std::string(serviceName) },
        { keys::flowAddress, server.flowAddress.toString() },
        { keys::requestAddress, server.requestAddress.toString() },
        { keys::availabilityZone, server.availabilityZone },
        { keys::slots, fmt::format("{}", server.slots) },
        { keys::connections, fmt::format("{}", server.connections) },
        { keys::weight, fmt::format("{}", server.weight) },
        { keys::state, std::string(nameOf(server.state)) },
        { keys::slowStartSeconds, fmt::format("{}", server.slowStartSeconds) },
    };
}

std::string writeConfiguration(const Configuration& configuration)
{
    std::string text;
    std::unordered_map<ServiceId, std::string_view> serviceNames;
    for (const Service& service : configuration.services) {
        serviceNames.emplace(service.id, service.name);
        writeSection(text, keys::service, service.name, fieldsOf(service));
    }
    for (const BackendServer& server : configuration.backendServers)
        writeSection(text, keys::backendServer, server.name, fieldsOf(server, serviceNames[server.service]));
    return text;
}

}
