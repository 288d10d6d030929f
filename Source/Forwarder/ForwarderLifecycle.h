#pragma once

#include "Core/Clock.h"

#include <chrono>
#include <optional>

namespace wisteriadock {

struct LifecycleSettings {
    // Time from the stop signal until the process is killed.
    std::chrono::milliseconds grace { 6000 };
    // The process exits this long before it would be killed.
    std::chrono::milliseconds margin { 500 };
    // After this time without a packet all routers have noticed that the forwarder is not ready, and a stop can end.
    // Routers check twice a second and stop using a forwarder after two misses.
    std::chrono::milliseconds quietPeriod { 1500 };
};

// Decides whether the forwarder reports itself ready, and when a planned stop may end the process. While stopping, the
// forwarder is not ready but goes on forwarding: routers need time to notice, and may send packets until the end where
// a zone has few balancers.
class ForwarderLifecycle {
public:
    explicit ForwarderLifecycle(LifecycleSettings settings = {})
        : settings_(settings)
    {
    }

    // The routes and the servers have been loaded. True for the first call.
    bool noteSynced();
    // Begins a planned stop. True for the first call; later ones change nothing.
    bool stop(TimePoint now);
    void notePacket(TimePoint now) { lastPacket_ = now; }

    // Whether the routes and the servers have been loaded.
    bool hasSynced() const { return hasSynced_; }
    bool isReady() const { return hasSynced_ && !stoppingSince_; }
    bool isStopping() const { return stoppingSince_.has_value(); }
    // True once a planned stop has drained the packets or its time is up: the process shall exit.
    bool isStopped(TimePoint now) const;

private:
    LifecycleSettings settings_;
    bool hasSynced_ = false;
    std::optional<TimePoint> stoppingSince_;
    TimePoint lastPacket_ = TimePoint::min();
};

}
