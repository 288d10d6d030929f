#pragma once

#include "Core/Error.h"
#include "Core/EventLog.h"
#include "Forwarder/ForwarderSettings.h"
#include "StoreSync/ReplicaSync.h"
#include "StoreSync/StoreFeed.h"

#include <cstddef>
#include <cstdint>

namespace wisteriadock {

// Writes the log lines about the forwarder's process and its contact with the platform's store, one function for each
// kind of event (docs/OPERATIONS.md lists them). Forwarder calls it.
class ProcessLog {
public:
    ProcessLog(EventLog& log, TimePoint startedAt)
        : log_(log)
        , startedAt_(startedAt)
    {
    }

    void started(const ForwarderSettings&, TimePoint now);
    // The routes and the servers of the zone have been loaded; `last` are the updates that completed them.
    void ready(const ReplicaChanged& last, std::uint64_t configurationVersion, std::size_t servers, TimePoint now);
    void stopping(const ForwarderSettings&, TimePoint now);
    void stopped(TimePoint now);
    // The metrics can't be served.
    void withoutMetrics(const Error&, TimePoint now);

    void listingEnded(const ListingEnded&, TimePoint now);
    void storeEraChanged(const StoreEraChanged&, TimePoint now);
    void storeUnreachable(const StoreUnreachable&, TimePoint now);
    void storeReachable(const StoreReachable&, TimePoint now);

private:
    EventLog& log_;
    const TimePoint startedAt_;
};

}
