#pragma once

#include "StoreSync/RelayTree.h"

#include <msgpack.hpp>

#include <cstdint>

namespace wisteriadock {

// The payload of PeerMessageKind::WatcherHeartbeat: up to which revision the sender's replica is complete, and how long
// ago the store was known to have nothing newer. Watchers send it to their zone at a fixed interval. It is also the
// answer to a RevisionRequest that asks for an age.
struct WatcherHeartbeat {
    std::uint64_t revision = 0;
    std::uint32_t millisecondsSinceStoreResponse = 0;
    // The store does not answer the sender. In an answer: the sender has just heard a detached watcher.
    bool isDetached = false;
    // How the message is relayed in a large zone. The origin is 0 and the range empty if it came directly.
    std::uint32_t origin = 0;
    std::uint32_t first = 1;
    std::uint32_t last = 0;
    // The sender is no watcher and has asked the store because no watcher was heard.
    bool hasAskedStore = false;

    MSGPACK_DEFINE_ARRAY(revision, millisecondsSinceStoreResponse, isDetached, origin, first, last, hasAskedStore);
    bool operator==(const WatcherHeartbeat&) const = default;

    RelayRange range() const { return { first, last }; }
};

// The payload of a RevisionRequest whose sender wants a WatcherHeartbeat as the answer. Balancers of earlier versions
// ignore it and announce their revision.
struct StalenessRequest {
    bool wantsAge = true;

    MSGPACK_DEFINE_ARRAY(wantsAge);
};

}
