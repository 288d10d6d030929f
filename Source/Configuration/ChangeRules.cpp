#include "Configuration/ChangeRules.h"

#include <fmt/format.h>

#include <unordered_set>

namespace wisteriadock {

namespace {

    std::unordered_set<ServiceId> servicesWithActiveServers(const Configuration& configuration)
    {
        std::unordered_set<ServiceId> services;
        for (const BackendServer& server : configuration.backendServers) {
            if (server.state == BackendServerState::Active)
                services.insert(server.service);
        }
        return services;
    }

    void checkIdleServices(
        const Configuration& before, const Configuration& after, std::vector<std::string>& violations)
    {
        const auto activeBefore = servicesWithActiveServers(before);
        const auto activeAfter = servicesWithActiveServers(after);
        for (const Service& service : after.services) {
            if (activeAfter.count(service.id) != 0)
                continue;
            // A service that was already idle with the operator's consent must not block other changes.
            if (before.findService(service.name) && activeBefore.count(service.id) == 0)
                continue;
            violations.push_back(fmt::format(
                "service {} would have no active backend server; --allow_idle_service allows it", service.name));
        }
    }

    void checkMovedAddresses(
        const Configuration& before, const Configuration& after, std::vector<std::string>& violations)
    {
        for (const ConfigurationChange& change : diffConfigurations(before, after)) {
            if (change.kind != ChangeKind::AddressMoved)
                continue;
            violations.push_back(
                fmt::format("address {} would move from service {} to {}; --allow_moved_address allows it", change.name,
                    change.fields.front().before, change.fields.front().after));
        }
    }

}

std::vector<std::string> checkChange(const Configuration& before, const Configuration& after, ChangeFlags flags)
{
    std::vector<std::string> violations;
    if (!flags.allowIdleService)
        checkIdleServices(before, after, violations);
    if (!flags.allowMovedAddress)
        checkMovedAddresses(before, after, violations);
    return violations;
}

}
