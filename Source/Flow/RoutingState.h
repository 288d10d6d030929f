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

// The address of a backend server for flow packets, and its state.
struct ServerRecord {
    Endpoint flowAddress;
    BackendServerState state = BackendServerState::Active;
    // When the server was removed from the configuration; unset while it is configured. A removed server is kept for
    // its remaining flows.
    std::optional<TimePoint> retiredAt;

    bool operator==(const ServerRecord&) const = default;
};

using ServerDirectory = absl::flat_hash_map<BackendServerId, ServerRecord>;

// The data by which FlowTable::route() selects the destination of a packet of one service. TableSynchronizer creates it
// and installs it in every shard of the flow table. Immutable.
struct RoutingState {
    ServiceId service;
    std::shared_ptr<const ServerDirectory> directory;
    // Routes unknown flows outside of the arbitrated buckets. Null until a table is settled.
    std::shared_ptr<const BucketTable> settledTable;
    // Buckets in which the tables of the balancers may differ, so that only the arbiter may route unknown flows.
    BucketSet arbitratedBuckets;
    // On the arbiter, routes unknown flows of the arbitrated buckets. Null while the arbiter must drop them.
    std::shared_ptr<const BucketTable> arbiterTable;
    bool isArbiter = false;
    // On other balancers, where to forward unknown flows of the arbitrated buckets; unset if no arbiter is known.
    Endpoint arbiterFlowAddress;
};

}
