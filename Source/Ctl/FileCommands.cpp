#include "Ctl/FileCommands.h"

#include "Configuration/ChangeRules.h"
#include "Configuration/ConfigurationDiff.h"
#include "Configuration/ConfigurationLimits.h"
#include "Configuration/ConfigurationWriter.h"
#include "Settings/SettingsFile.h"

#include <fmt/format.h>

#include <utility>

namespace wisteriadock {

namespace {

    using Json = nlohmann::json;

    Json toJsonObject(const std::string& name, const std::vector<ConfigurationField>& fields)
    {
        Json object { { "name", name } };
        for (const ConfigurationField& field : fields)
            object[std::string(field.key)] = field.value;
        return object;
    }

    Json toJsonObject(const ConfigurationChange& change)
    {
        Json fields = Json::array();
        for (const FieldChange& field : change.fields)
            fields.push_back({ { "key", field.key }, { "before", field.before }, { "after", field.after } });
        return { { "kind", nameOf(change.kind) }, { "name", change.name }, { "fields", std::move(fields) } };
    }

}

LoadedConfiguration loadConfiguration(const std::string& path)
{
    const auto text = readFile(path == "-" ? "/dev/stdin" : path, maxConfigurationBytes);
    if (!text)
        return resultOf(text.error());
    auto configuration = parseConfiguration(path, text.value());
    if (!configuration)
        return resultOf(configuration.error());
    return std::move(configuration).value();
}

CtlResult checkFile(const std::string& path)
{
    const auto loaded = loadConfiguration(path);
    if (!loaded)
        return loaded.error();
    const Configuration& configuration = loaded.value();
    return { CtlExit::Done,
        fmt::format("valid: {} services, {} backend servers", configuration.services.size(),
            configuration.backendServers.size()),
        { { "status", "valid" }, { "services", configuration.services.size() },
            { "backend_servers", configuration.backendServers.size() } } };
}

CtlResult reportDiff(std::uint64_t version, const Configuration& before, const Configuration& after)
{
    CtlResult result;
    Json list = Json::array();
    const auto changes = diffConfigurations(before, after);
    result.text = fmt::format("changes against version {}: {}", version, changes.size());
    for (const ConfigurationChange& change : changes) {
        result.text += "\n" + change.toString();
        list.push_back(toJsonObject(change));
    }
    const auto broken = checkChange(before, after, {});
    for (const std::string& rule : broken)
        result.text += "\nwould be refused: " + rule;
    result.json = { { "status", "compared" }, { "version", version }, { "changes", std::move(list) },
        { "broken_rules", broken } };
    return result;
}

CtlResult reportVersion(const ConfigurationVersion& version)
{
    const AppliedVersion& applied = version.head.applied;
    CtlResult result;
    result.text = fmt::format("; version {}, applied by {} (apply id {}) over version {}\n{}", applied.version,
        applied.author, applied.applyId, version.head.baseVersion, version.text);
    if (result.text.ends_with('\n'))
        result.text.pop_back();

    Json services = Json::array();
    for (const Service& service : version.configuration.services)
        services.push_back(toJsonObject(service.name, fieldsOf(service)));
    Json servers = Json::array();
    for (const BackendServer& server : version.configuration.backendServers) {
        const Service* service = version.configuration.findService(server.service);
        servers.push_back(toJsonObject(server.name, fieldsOf(server, service ? service->name : "")));
    }
    result.json = { { "status", "read" }, { "version", applied.version }, { "base_version", version.head.baseVersion },
        { "apply_id", applied.applyId }, { "author", applied.author }, { "content_hash", applied.contentHash },
        { "services", std::move(services) }, { "backend_servers", std::move(servers) } };
    return result;
}

}
