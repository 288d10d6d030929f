#pragma once

#include "KeyValue/PlatformTypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadock {

// The calls of a key-value service as typed messages. Value is what a successful answer gives.

struct GetCall {
    using Value = PlatformEntry;
    std::string key;
};

struct CompareAndSwapCall {
    using Value = std::uint64_t;
    std::string key;
    // Writes if the key's revision is still this one; 0 means that the key must not exist.
    std::uint64_t revision = 0;
    std::string value;
    std::optional<std::uint64_t> lease;
};

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

// One key as it was last written, or the note that it was removed.
struct PlatformItem {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool isRemoved = false;
};

// Part of a listing. Pages are no snapshot: keys may have changed between two of them.
struct PlatformPage {
    std::vector<PlatformItem> items;
    bool hasMore = false;
    // The service's revision when the page was read.
    std::uint64_t revision = 0;
};

// The keys under a prefix, from the one that follows `after`.
struct ListCall {
    using Value = PlatformPage;
    std::string prefix;
    std::string after;
    // A cheap answer that may be seconds old.
    bool mayBeStale = false;
};

// What changed up to a revision.
struct PlatformChanges {
    std::vector<PlatformItem> items;
    std::uint64_t revision = 0;
};

// Waits until anything under the prefix changes above the revision, or until the time is over. Fails with NotFound when
// the service no longer has that history.
struct ChangesCall {
    using Value = PlatformChanges;
    std::string prefix;
    std::uint64_t revision = 0;
    std::chrono::milliseconds wait { 0 };
};

}
