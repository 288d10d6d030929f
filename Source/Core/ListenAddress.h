#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <string_view>

namespace wisteriadock {

// Reads "192.0.2.1:443" like Endpoint::parse, and "192.0.2.1:0" for a port that the kernel shall choose.
Result<Endpoint> parseListenAddress(std::string_view text);

}
