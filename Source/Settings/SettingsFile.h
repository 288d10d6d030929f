#pragma once

#include "Core/Error.h"

#include <cstddef>
#include <string>

namespace wisteriadock {

// The maximum size of a settings file, in bytes.
constexpr std::size_t maxSettingsFileBytes = 65536;

// Reads a whole file. Fails with NotFound if the file can't be opened or read, and with ResourceExhausted if it is
// larger than maxBytes; the detail names the file.
Result<std::string> readFile(const std::string& path, std::size_t maxBytes = maxSettingsFileBytes);

}
