#include "Configuration/ConfigurationCheck.h"

#include "Configuration/ConfigurationKeys.h"
#include "Configuration/ConfigurationLimits.h"
#include "Settings/NearestName.h"

#include <fmt/format.h>

#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace wisteriadock {

namespace {

    namespace keys = configuration_keys;

    // Suggestions for misspelt service names are limited to small files, since each search takes linear time.
    constexpr std::size_t maxServicesToSearch = 200;

    class ConsistencyChecker {
    public:
        ConsistencyChecker(SettingsReader& reader, const std::vector<DeclaredService>& services,
            const std::vector<DeclaredBackendServer>& servers)
            : reader_(reader)
            , services_(services)
            , servers_(servers)
        {
        }

        void run()
        {
            checkCounts();
            for (const DeclaredService& declared : services_)
                checkService(declared);
            for (const DeclaredBackendServer& declared : servers_)
                checkBackendServer(declared);
            for (const DeclaredService& declared : services_)
                checkHasBackendServer(declared);
        }

    private:
        void checkCounts()
        {
            if (services_.empty())
                reader_.addProblem("at least one section [service NAME]");
            if (services_.size() > maxServices)
                reader_.addProblem(fmt::format("at most {} services", maxServices));
            if (servers_.size() > maxBackendServers)
                reader_.addProblem(fmt::format("at most {} backend servers", maxBackendServers));
        }

        void checkService(const DeclaredService& declared)
        {
            const Service& service = declared.service;
            checkIdentifier(serviceOfId_, service.id, service.name, *declared.section);
            checkAddress(keys::address, service.address, *declared.section);
            knownServices_.insert(service.name);
        }

        void checkBackendServer(const DeclaredBackendServer& declared)
        {
            const BackendServer& server = declared.server;
            checkIdentifier(serverOfId_, server.id, server.name, *declared.section);
            checkAddress(keys::flowAddress, server.flowAddress, *declared.section);
            // A backend server may use one address for flows (UDP) and requests (TCP).
            if (server.requestAddress != server.flowAddress)
                checkAddress(keys::requestAddress, server.requestAddress, *declared.section);
            checkServiceOf(declared);
        }

        // Packets are routed by identifier, so traffic of two names with the same identifier would be mixed up.
        template <typename Id>
        static void checkIdentifier(
            std::unordered_map<Id, std::string_view>& owners, Id id, std::string_view name, SectionReader& section)
        {
            const auto [owner, isNew] = owners.emplace(id, name);
            if (!isNew)
                section.addProblem({},
                    fmt::format(
                        "a different name; its identifier {:08x} is already used by '{}'", id.value, owner->second));
        }

        void checkAddress(std::string_view key, Endpoint address, SectionReader& section)
        {
            if (!address.isSet())
                return;
            const auto [owner, isNew] = sectionOfAddress_.emplace(address, &section);
            if (!isNew)
                section.addProblem(key,
                    fmt::format("a unique address; this one is already used by [{}] on line {}",
                        owner->second->sectionName(), owner->second->line()));
        }

        void checkServiceOf(const DeclaredBackendServer& declared)
        {
            if (declared.serviceName.empty())
                return;
            servedServices_.insert(declared.serviceName);
            if (knownServices_.count(declared.serviceName) != 0)
                return;
            std::string expected = "the name of a section [service NAME] of this file";
            if (services_.size() <= maxServicesToSearch)
                expected += fmt::format("; the nearest is '{}'", nearestService(declared.serviceName));
            declared.section->addProblem(keys::service, expected);
        }

        std::string_view nearestService(std::string_view name) const
        {
            std::vector<std::string_view> known;
            for (const DeclaredService& declared : services_)
                known.push_back(declared.service.name);
            return nearestName(name, known);
        }

        void checkHasBackendServer(const DeclaredService& declared)
        {
            if (servedServices_.count(declared.service.name) == 0)
                declared.section->addProblem(
                    {}, fmt::format("a backend server with service = {}", declared.service.name));
        }

        SettingsReader& reader_;
        const std::vector<DeclaredService>& services_;
        const std::vector<DeclaredBackendServer>& servers_;
        std::unordered_map<ServiceId, std::string_view> serviceOfId_;
        std::unordered_map<BackendServerId, std::string_view> serverOfId_;
        std::unordered_map<Endpoint, SectionReader*> sectionOfAddress_;
        std::unordered_set<std::string_view> knownServices_;
        std::unordered_set<std::string_view> servedServices_;
    };

}

void checkConsistency(SettingsReader& reader, const std::vector<DeclaredService>& services,
    const std::vector<DeclaredBackendServer>& servers)
{
    ConsistencyChecker(reader, services, servers).run();
}

}
