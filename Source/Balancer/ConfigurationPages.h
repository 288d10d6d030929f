#pragma once

#include "Configuration/ContentReader.h"
#include "Net/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisteriadock {

// The HTTP path at which a balancer serves the value of a configuration key to others. The authority of such a request
// must not name a service.
std::string configurationPathOf(std::string_view key);

// Answers a GET for the configuration in force. "/configuration" shows operators its version, hash and text as JSON;
// "/configuration/head" and "/configuration/content/…" return to other balancers what the platform stores. Returns
// nothing for other paths.
std::optional<HttpResponse> renderConfiguration(
    std::string_view path, const std::optional<ConfigurationVersion>& inForce);

}
