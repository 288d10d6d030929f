#pragma once

#include "Core/Error.h"
#include "StoreSync/StoreDelta.h"

#include <cstddef>
#include <string>

namespace wisteriadock {

// Values of at least this many bytes are compressed for other balancers.
inline constexpr std::size_t compressionThreshold = 2048;

// Compresses the update's value (zstd) if that makes it smaller. As plain text, a configuration of 1,250 routes (250
// KB) keeps a link of 10 Mbit/s busy for 0.2 s for each balancer of the zone, and the last of 20 has it after 6 s.
// Values below compressionThreshold and values that are compressed already stay unchanged.
void compressValue(StoreUpdate&);

// The value as the store holds it. Fails with InvalidArgument when the bytes can't be decompressed, or to more than
// maxDeltaBytes.
Result<std::string> plainValue(const StoreUpdate&);

}
