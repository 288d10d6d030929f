#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriadock {

// A backend server of a stand-in process, as specified by the --servers flag.
struct BackendSpec {
    std::string name;
    BackendServerId id;
    std::string serviceName;
    ServiceId service;
    Endpoint flowAddress;
    Endpoint requestAddress;
    // The maximum number of concurrent requests.
    std::uint32_t slots = 0;
    // The maximum number of concurrent flows.
    std::uint32_t connections = 0;

    // Parses "NAME@SERVICE@FLOWADDRESS@REQUESTADDRESS@SLOTS@CONNECTIONS". Port 0 selects an ephemeral port.
    // Fails with InvalidArgument; the detail names the text or the field and what was expected.
    static Result<BackendSpec> parse(std::string_view text);
};

}
