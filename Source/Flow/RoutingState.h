#pragma once

#include "Configuration/Configuration.h"
#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Identifiers.h"
#include "Flow/BucketTable.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>

namespace wisteriadock {

// Where a backend server takes flow packets, and whether new flows may go there.
struct ServerRecord {
    Endpoint flowAddress;
    BackendServerState state = BackendServerState::Active;
    // Set when the server is gone from the configuration; it is kept for the flows that it still has.
    std::optional<TimePoint> retiredAt;

    bool operator==(const ServerRecord&) const = default;
};

using ServerDirectory = absl::flat_hash_map<BackendServerId, ServerRecord>;

// What the packet path of one service goes by. Immutable; a change installs a new one in every shard.
struct RoutingState {
    ServiceId service;
    std::shared_ptr<const ServerDirectory> directory;
    // Decides for unknown flows, except in arbitrated buckets. Null while nothing was learned yet.
    std::shared_ptr<const BucketTable> settledTable;
    // Buckets whose unknown flows only the arbiter may decide, since balancers may disagree on them.
    BucketSet arbitratedBuckets;
    // Set on the arbiter: its answer for unknown flows in arbitrated buckets. Null while it must not answer.
    std::shared_ptr<const BucketTable> arbiterTable;
    bool isArbiter = false;
    // Where other balancers hand unknown flows in arbitrated buckets; not set when no arbiter is known.
    Endpoint arbiterFlowAddress;
};

}
