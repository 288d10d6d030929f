#pragma once

#include "Core/Error.h"

#include <cstddef>
#include <string>

namespace wisteriadock {

// The largest settings file that a daemon reads.
constexpr std::size_t maxSettingsFileBytes = 65536;

// Reads a whole file. Fails with NotFound when it can't be opened or read, and with ResourceExhausted when it is larger
// than the limit; the detail names the file.
Result<std::string> readFile(const std::string& path, std::size_t maxBytes = maxSettingsFileBytes);

}
