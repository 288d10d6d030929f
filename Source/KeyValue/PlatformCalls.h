#pragma once

#include "KeyValue/PlatformTypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadock {

// The calls of a key-value service. Value is the type of a successful answer.

struct GetCall {
    using Value = PlatformEntry;
    std::string key;
};

struct CompareAndSwapCall {
    using Value = std::uint64_t;
    std::string key;
    // The expected revision of the key; 0 means that the key must not exist.
    std::uint64_t revision = 0;
    std::string value;
    std::optional<std::uint64_t> lease;
};

// Waits up to `wait` for a revision of the key above the given one.
struct WatchCall {
    using Value = PlatformEntry;
    std::string key;
    std::uint64_t revision = 0;
    std::chrono::milliseconds wait { 0 };
};

struct GrantLeaseCall {
    using Value = PlatformLease;
    std::chrono::milliseconds timeToLive { 0 };
};

struct KeepAliveCall {
    using Value = PlatformLease;
    std::uint64_t lease = 0;
};

struct ListVmsCall {
    using Value = std::vector<Vm>;
};

// A key with its newest value, or a removed key.
struct PlatformItem {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool isRemoved = false;
};

// One page of a listing. Pages are not a snapshot: keys may change between two of them.
struct PlatformPage {
    std::vector<PlatformItem> items;
    bool hasMore = false;
    // The revision of the store when the page was read.
    std::uint64_t revision = 0;
    // Rises by one whenever the store is restored from an older copy. The store then gives out revisions again.
    std::uint64_t era = 0;
};

// Lists the keys under a prefix, starting with the first key after `after`.
struct ListCall {
    using Value = PlatformPage;
    std::string prefix;
    std::string after;
    // Accepts an answer that may be seconds old, which is cheaper for the service.
    bool mayBeStale = false;
};

// The changes up to a revision.
struct PlatformChanges {
    std::vector<PlatformItem> items;
    std::uint64_t revision = 0;
    // As in PlatformPage.
    std::uint64_t era = 0;
};

// Waits up to `wait` for a change under the prefix with a revision above the given one. Fails with NotFound if the
// service no longer has the changes since that revision.
struct ChangesCall {
    using Value = PlatformChanges;
    std::string prefix;
    std::uint64_t revision = 0;
    std::chrono::milliseconds wait { 0 };
};

}
