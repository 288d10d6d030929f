#pragma once

#include "Configuration/Configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// One key of an entry with the text that stands for its value in files.
struct ConfigurationField {
    std::string_view key;
    std::string value;

    bool operator==(const ConfigurationField&) const = default;
};

// Every key of an entry, in canonical order.
std::vector<ConfigurationField> fieldsOf(const Service&);
std::vector<ConfigurationField> fieldsOf(const BackendServer&, std::string_view serviceName);

// The canonical text: sorted by name, every key written out. Parsing it gives the same configuration again, and equal
// configurations have equal texts, so that the hash of the text names the content.
std::string writeConfiguration(const Configuration&);

}
