#pragma once

#include "Core/Error.h"

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace wisteriadock {

// The difference between two revisions of a large value. Only a balancer that holds the value of the base revision can
// apply it.
struct ValuePatch {
    std::string key;
    // Revisions of the value that the patch applies to, and of the value that results.
    std::uint64_t base = 0;
    std::uint64_t revision = 0;
    std::string bytes;
    // See StoreUpdate::ageMilliseconds.
    std::uint32_t ageMilliseconds = 0;

    MSGPACK_DEFINE_ARRAY(key, base, revision, bytes, ageMilliseconds);
    bool operator==(const ValuePatch&) const = default;
};

// Encodes the difference between two values (zstd with the former value as its dictionary). None when that fails or the
// result is larger than half of the value.
std::optional<std::string> patchBytes(const std::string& former, const std::string& value);

// Applies a patch to the former value. Fails with InvalidArgument when the bytes can't be decompressed, result in more
// than maxDeltaBytes, or were made for another former value, which a checksum shows.
Result<std::string> applyPatch(const std::string& former, const ValuePatch&);

}
