#pragma once

#include "KeyValue/StoreRevision.h"
#include "StoreSync/ValuePatch.h"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriadock {

// The newest state of one key of the platform's key-value store: its value, or that the key was removed.
struct StoreUpdate {
    std::string key;
    std::string value;
    // Revision that wrote or removed the key, as in StoreRevision.h.
    std::uint64_t revision = 0;
    bool isRemoved = false;
    // The value is compressed; plainValue() in CompressedValue.h decompresses it.
    bool isCompressed = false;
    // Time since a balancer read the update from the store, as far as the sender knows. For logs and metrics only.
    std::uint32_t ageMilliseconds = 0;

    MSGPACK_DEFINE_ARRAY(key, value, revision, isRemoved, isCompressed, ageMilliseconds);
    bool operator==(const StoreUpdate&) const = default;
};

// The changes of the store after one revision and up to another, as in StoreRevision.h. Between balancers a small delta
// travels as a datagram, and any other as the answer to a request.
//
// If the revisions belong to different eras, the delta holds what differs from the sender's content of before the era,
// so only a receiver that had the same content can use it. The digest tells.
struct StoreDelta {
    // The delta is complete for a receiver that has all changes up to `from`, and brings it to `to`. It may hold some
    // updates of later revisions, which replace older ones by key without making the receiver complete.
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    // The delta holds the whole store: keys that it does not name do not exist.
    bool isSnapshot = false;
    // The sender lost contact with the store recently, so removed entries may be registered again soon.
    bool isInDoubt = false;
    std::vector<StoreUpdate> items;
    // The store itself answered just now, and has been reachable for longer than entries take to be registered again.
    bool isFresh = false;
    // Changes of large values, in the order of their revisions. With them the delta is complete for a receiver that has
    // all changes up to patchedFrom and can apply every patch. Receivers that do not support patches go by `from`.
    std::vector<ValuePatch> patches {};
    std::uint64_t patchedFrom = 0;
    // StoreReplica::digest() of the sender at `to`; 0 unless the delta leads into another era.
    std::uint64_t digest = 0;

    std::uint64_t completeFrom() const { return patches.empty() ? from : patchedFrom; }
    bool leadsIntoEra() const { return !isSnapshot && eraOf(completeFrom()) < eraOf(to); }

    MSGPACK_DEFINE_ARRAY(from, to, isSnapshot, isInDoubt, items, isFresh, patches, patchedFrom, digest);
};

// Largest answer to a request for a delta, in bytes. Also limits the size of a decompressed value.
inline constexpr std::size_t maxDeltaBytes = std::size_t(8) * 1024 * 1024;

}
