#pragma once

#include "Core/Error.h"
#include "StoreSync/StoreDelta.h"

#include <cstddef>
#include <string>

namespace wisteriadock {

// Values of at least this many bytes are compressed for other balancers.
inline constexpr std::size_t compressionThreshold = 2048;

// Compresses the update's value (zstd) if that makes it smaller. Values below compressionThreshold and values that are
// compressed already stay unchanged.
void compressValue(StoreUpdate&);

// The value as the store holds it. Fails with InvalidArgument when the bytes can't be decompressed, or to more than
// maxDeltaBytes.
Result<std::string> plainValue(const StoreUpdate&);

}
