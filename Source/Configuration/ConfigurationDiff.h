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
    // The address of a service, or of one of its backend servers, moved to another service.
    AddressMoved,
};

std::string_view nameOf(ChangeKind);

// One key whose value changed, with both values as text.
struct FieldChange {
    std::string key;
    std::string before;
    std::string after;

    bool operator==(const FieldChange&) const = default;
};

// One difference between two configurations.
struct ConfigurationChange {
    ChangeKind kind = ChangeKind::ServiceAdded;
    // The name of the service or backend server, or the address.
    std::string name;
    // The changed keys, for changed entries and moved addresses.
    std::vector<FieldChange> fields;

    // One line of ctl's output, such as "~ backend_server tryon-3: state active -> draining".
    std::string toString() const;

    bool operator==(const ConfigurationChange&) const = default;
};

// All differences: services by name, backend servers by name, then moved addresses. Empty for equal configurations.
// Called by ctl and by checkChange().
std::vector<ConfigurationChange> diffConfigurations(const Configuration& before, const Configuration& after);

}
