#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <string_view>

namespace wisteriadock {

// Parses "192.0.2.1:443" like Endpoint::parse, and also port 0, which lets the kernel choose a port.
Result<Endpoint> parseListenAddress(std::string_view text);

}
