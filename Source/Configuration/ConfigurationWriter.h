#pragma once

#include "Configuration/Configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// One key of an entry and the text of its value in configuration files.
struct ConfigurationField {
    std::string_view key;
    std::string value;

    bool operator==(const ConfigurationField&) const = default;
};

// All keys of an entry, in canonical order.
std::vector<ConfigurationField> fieldsOf(const Service&);
std::vector<ConfigurationField> fieldsOf(const BackendServer&, std::string_view serviceName);

// The canonical text of a configuration: sorted by name, with every key written out. Parsing it returns the same
// configuration, and equal configurations have equal texts, so the hash of the text identifies the content.
std::string writeConfiguration(const Configuration&);

}
