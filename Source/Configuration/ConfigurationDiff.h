#pragma once

#include "Configuration/Configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

enum class ChangeKind {
    ServiceAdded,
    ServiceRemoved,
    ServiceChanged,
    BackendServerAdded,
    BackendServerRemoved,
    BackendServerChanged,
    // An address of a service, or of one of its backend servers, now belongs to another service.
    AddressMoved,
};

std::string_view nameOf(ChangeKind);

// One key whose value differs.
struct FieldChange {
    std::string key;
    std::string before;
    std::string after;

    bool operator==(const FieldChange&) const = default;
};

// One difference between two configurations.
struct ConfigurationChange {
    ChangeKind kind = ChangeKind::ServiceAdded;
    // The service, the backend server or the address.
    std::string name;
    // What differs, for the kinds that change or move.
    std::vector<FieldChange> fields;

    // "~ backend_server tryon-3: state active -> draining" as ctl prints it.
    std::string toString() const;

    bool operator==(const ConfigurationChange&) const = default;
};

// Every difference: services by name, backend servers by name, then moved addresses. Empty for equal configurations.
std::vector<ConfigurationChange> diffConfigurations(const Configuration& before, const Configuration& after);

}
