#pragma once

#include "Configuration/ContentReader.h"
#include "Net/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisteriadock {

// The path at which balancers serve the value of a configuration key to each other. The authority names no service.
std::string configurationPathOf(std::string_view key);

// Answers GET for the configuration in force: "/configuration" gives its version, hash and text as JSON to people;
// "/configuration/head" and "/configuration/content/…" give other balancers what the platform would. Nothing for other
// paths.
std::optional<HttpResponse> renderConfiguration(
    std::string_view path, const std::optional<ConfigurationVersion>& inForce);

}
