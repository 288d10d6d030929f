#pragma once

#include "Core/Error.h"

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace wisteriadock {

// What changed in a large value from one revision of its key to another. It is of use only to a balancer that holds the
// value of the first one.
struct ValuePatch {
    std::string key;
    // The revision of the value that it changes, and of the value that comes out.
    std::uint64_t base = 0;
    std::uint64_t revision = 0;
    std::string bytes;
    // As StoreUpdate::ageMilliseconds.
    std::uint32_t ageMilliseconds = 0;

    MSGPACK_DEFINE_ARRAY(key, base, revision, bytes, ageMilliseconds);
    bool operator==(const ValuePatch&) const = default;
};

// The bytes that make one value of the other (zstd with the former value as its dictionary). None when they can't be
// made, or save less than half of the value.
std::optional<std::string> patchBytes(const std::string& former, const std::string& value);

// The value that the bytes make of the former one. Fails with InvalidArgument for bytes that don't unpack, to more than
// maxDeltaBytes, or to another value than they were made for: they carry its checksum.
Result<std::string> applyPatch(const std::string& former, const ValuePatch&);

}
