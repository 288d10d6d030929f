#pragma once

#include "Core/Error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace wisteriadock {

// Compresses bytes with zstd at a fast level. Returns an empty string if the library fails.
std::string compressBytes(std::string_view bytes);

// Decompresses the output of compressBytes(). Fails with InvalidArgument if the input is malformed or would decompress
// to more than maxBytes.
Result<std::string> decompressBytes(std::string_view compressed, std::size_t maxBytes);

}
