#include "Configuration/Configuration.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    template <typename Entry> const Entry* findByName(const std::vector<Entry>& entries, std::string_view name)
    {
        const auto found = std::lower_bound(entries.begin(), entries.end(), name,
            [](const Entry& entry, std::string_view wanted) { return entry.name < wanted; });
        return found != entries.end() && found->name == name ? &*found : nullptr;
    }

    template <typename Entry, typename Id> const Entry* findById(const std::vector<Entry>& entries, Id id)
    {
        const auto found
            = std::find_if(entries.begin(), entries.end(), [&](const Entry& entry) { return entry.id == id; });
        return found == entries.end() ? nullptr : &*found;
    }

}

std::string_view nameOf(BackendServerState state) { return backendServerStateNames.name(state); }

const Service* Configuration::findService(std::string_view name) const { return findByName(services, name); }

const Service* Configuration::findService(ServiceId id) const { return findById(services, id); }

const BackendServer* Configuration::findBackendServer(std::string_view name) const
{
    return findByName(backendServers, name);
}

const BackendServer* Configuration::findBackendServer(BackendServerId id) const { return findById(backendServers, id); }

}
