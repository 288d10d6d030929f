#pragma once

#include "Core/Error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace wisteriadock {

// Packs bytes (zstd, at the fastest level that the library calls ordinary, since a balancer has a few hundredths of a
// core). Empty when the library can't.
std::string compressBytes(std::string_view bytes);

// The bytes that compressBytes() packed. Fails with InvalidArgument for bytes that don't unpack, or to more than so
// many.
Result<std::string> decompressBytes(std::string_view packed, std::size_t most);

}
