#include "Configuration/ConfigurationDiff.h"

#include "Configuration/ConfigurationKeys.h"
#include "Configuration/ConfigurationWriter.h"
#include "Core/NameTable.h"

#include <fmt/format.h>

#include <unordered_map>
#include <utility>

namespace wisteriadock {

namespace {

    namespace keys = configuration_keys;

    constexpr auto changeKindNames = makeNameTable<ChangeKind>({
        { ChangeKind::ServiceAdded, "service_added" },
        { ChangeKind::ServiceRemoved, "service_removed" },
        { ChangeKind::ServiceChanged, "service_changed" },
        { ChangeKind::BackendServerAdded, "backend_server_added" },
        { ChangeKind::BackendServerRemoved, "backend_server_removed" },
        { ChangeKind::BackendServerChanged, "backend_server_changed" },
        { ChangeKind::AddressMoved, "address_moved" },
    });

    constexpr auto changeMarks = makeNameTable<ChangeKind>({
        { ChangeKind::ServiceAdded, "+ service" },
        { ChangeKind::ServiceRemoved, "- service" },
        { ChangeKind::ServiceChanged, "~ service" },
        { ChangeKind::BackendServerAdded, "+ backend_server" },
        { ChangeKind::BackendServerRemoved, "- backend_server" },
        { ChangeKind::BackendServerChanged, "~ backend_server" },
        { ChangeKind::AddressMoved, "! address" },
    });

    using ServiceNames = std::unordered_map<ServiceId, std::string_view>;
    using AddressOwners = std::unordered_map<Endpoint, ServiceId>;

    ServiceNames serviceNamesOf(const Configuration& configuration)
    {
        ServiceNames names;
        for (const Service& service : configuration.services)
            names.emplace(service.id, service.name);
        return names;
    }

    AddressOwners addressOwnersOf(const Configuration& configuration)
    {
        AddressOwners owners;
        owners.reserve(configuration.services.size() + 2 * configuration.backendServers.size());
        for (const Service& service : configuration.services)
            owners.emplace(service.address, service.id);
        for (const BackendServer& server : configuration.backendServers) {
            owners.emplace(server.flowAddress, server.service);
            owners.emplace(server.requestAddress, server.service);
        }
        return owners;
    }

    std::vector<FieldChange> changedFields(
        const std::vector<ConfigurationField>& before, const std::vector<ConfigurationField>& after)
    {
        std::vector<FieldChange> changes;
        for (std::size_t i = 0; i < before.size(); ++i) {
            if (before[i].value != after[i].value)
                changes.push_back({ std::string(before[i].key), before[i].value, after[i].value });
        }
        return changes;
    }

    class Diff {
    public:
        Diff(const Configuration& before, const Configuration& after)
            : before_(before)
            , after_(after)
            , serviceNamesBefore_(serviceNamesOf(before))
            , serviceNamesAfter_(serviceNamesOf(after))
        {
        }

        std::vector<ConfigurationChange> run()
        {
            mergeByName(before_.services, after_.services, ChangeKind::ServiceAdded, ChangeKind::ServiceRemoved,
                [this](const Service& before, const Service& after) { addChangedService(before, after); });
            mergeByName(before_.backendServers, after_.backendServers, ChangeKind::BackendServerAdded,
                ChangeKind::BackendServerRemoved, [this](const BackendServer& before, const BackendServer& after) {
                    addChangedBackendServer(before, after);
                });
            // Without any other difference no address has moved.
            if (!changes_.empty())
                addMovedAddresses();
            return std::move(changes_);
        }

    private:
        // Compares two lists that are sorted by name.
        template <typename Entry, typename OnBoth>
        void mergeByName(const std::vector<Entry>& before, const std::vector<Entry>& after, ChangeKind added,
            ChangeKind removed, OnBoth onBoth)
        {
            auto old = before.begin();
            auto current = after.begin();
            while (old != before.end() || current != after.end()) {
                const bool isRemoved = current == after.end() || (old != before.end() && old->name < current->name);
                const bool isAdded = old == before.end() || (current != after.end() && current->name < old->name);
                if (isRemoved) {
                    changes_.push_back({ removed, (old++)->name, {} });
                } else if (isAdded) {
                    changes_.push_back({ added, (current++)->name, {} });
                } else {
                    if (!(*old == *current))
                        onBoth(*old, *current);
                    ++old;
                    ++current;
                }
            }
        }

        void addChangedService(const Service& before, const Service& after)
        {
            changes_.push_back(
                { ChangeKind::ServiceChanged, after.name, changedFields(fieldsOf(before), fieldsOf(after)) });
        }

        void addChangedBackendServer(const BackendServer& before, const BackendServer& after)
        {
            changes_.push_back({ ChangeKind::BackendServerChanged, after.name,
                changedFields(fieldsOf(before, serviceNamesBefore_[before.service]),
                    fieldsOf(after, serviceNamesAfter_[after.service])) });
        }

        void addMovedAddresses()
        {
            const AddressOwners owners = addressOwnersOf(before_);
            for (const Service& service : after_.services)
                addIfMoved(owners, service.address, service.id);
            for (const BackendServer& server : after_.backendServers) {
                addIfMoved(owners, server.flowAddress, server.service);
                if (server.requestAddress != server.flowAddress)
                    addIfMoved(owners, server.requestAddress, server.service);
            }
        }

        void addIfMoved(const AddressOwners& owners, Endpoint address, ServiceId service)
        {
            const auto owner = owners.find(address);
            if (owner == owners.end() || owner->second == service)
                return;
            changes_.push_back({ ChangeKind::AddressMoved, address.toString(),
                { { std::string(keys::service), std::string(serviceNamesBefore_[owner->second]),
                    std::string(serviceNamesAfter_[service]) } } });
        }

        const Configuration& before_;
        const Configuration& after_;
        ServiceNames serviceNamesBefore_;
        ServiceNames serviceNamesAfter_;
        std::vector<ConfigurationChange> changes_;
    };

}

std::string_view nameOf(ChangeKind kind) { return changeKindNames.name(kind); }

std::string ConfigurationChange::toString() const
{
    std::string text = fmt::format("{} {}", changeMarks.name(kind), name);
    for (std::size_t i = 0; i < fields.size(); ++i)
        text += fmt::format("{} {} {} -> {}", i == 0 ? ":" : ",", fields[i].key, fields[i].before, fields[i].after);
    return text;
}

std::vector<ConfigurationChange> diffConfigurations(const Configuration& before, const Configuration& after)
{
    return Diff(before, after).run();
}

}
