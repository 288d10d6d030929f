#pragma once

#include "News/ValuePatch.h"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriadock {

// One key of the platform's key-value service as it was written last, or the note that it was removed.
struct StoreUpdate {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool isRemoved = false;
    // The value is packed; plainValue() in CompressedValue.h unpacks it.
    bool isCompressed = false;
    // How long ago a balancer had it from the store, as its sender knows it; for logs and metrics.
    std::uint32_t ageMilliseconds = 0;

    MSGPACK_DEFINE_ARRAY(key, value, revision, isRemoved, isCompressed, ageMilliseconds);
    bool operator==(const StoreUpdate&) const = default;
};

// What changed after one revision and up to another. Between balancers it travels as a datagram when it is small, and
// as the answer to a request otherwise.
struct StoreDelta {
    // Complete for a receiver that has everything up to here.
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    // Everything there is: keys that it does not name do not exist.
    bool isSnapshot = false;
    // The sender's contact with the store was troubled lately, so that vanished entries may be back soon.
    bool isInDoubt = false;
    std::vector<StoreUpdate> items;
    // The store itself said this just now, and has been in contact for longer than vanished entries take to come back.
    bool isFresh = false;
    // Changes of large values, in the order of their revisions. With them the delta is complete for a receiver that has
    // everything up to patchedFrom and can apply them all; `from` says what holds for one that does not know patches.
    std::vector<ValuePatch> patches {};
    std::uint64_t patchedFrom = 0;

    std::uint64_t completeFrom() const { return patches.empty() ? from : patchedFrom; }

    MSGPACK_DEFINE_ARRAY(from, to, isSnapshot, isInDoubt, items, isFresh, patches, patchedFrom);
};

// The largest answer to a request for news: a large directory and a large configuration.
inline constexpr std::size_t maxDeltaBytes = std::size_t(8) * 1024 * 1024;

}
