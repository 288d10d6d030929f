#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriadock {

// One backend server that a stand-in process hosts, as its flag declares it.
struct BackendSpec {
    std::string name;
    BackendServerId id;
    std::string serviceName;
    ServiceId service;
    Endpoint flowAddress;
    Endpoint requestAddress;
    // Requests that it runs at once.
    std::uint32_t slots = 0;
    // Flows that it carries at once.
    std::uint32_t connections = 0;

    // Reads "NAME@SERVICE@FLOWADDRESS@REQUESTADDRESS@SLOTS@CONNECTIONS"; a port of 0 asks for an ephemeral one.
    // Fails with InvalidArgument; the detail names the text, the field and what was expected.
    static Result<BackendSpec> parse(std::string_view text);
};

}
