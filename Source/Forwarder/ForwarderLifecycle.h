#pragma once

#include "Core/Clock.h"

#include <chrono>
#include <optional>

namespace wisteriadock {

struct LifecycleSettings {
    // From the order to stop until the process is killed.
    std::chrono::milliseconds grace { 6000 };
    // The process ends so long before it would be killed.
    std::chrono::milliseconds margin { 500 };
    // Routers check twice a second and take a balancer out after two misses; after so long without a packet they have.
    std::chrono::milliseconds quietPeriod { 1500 };
};

// Whether the forwarder calls itself ready, and when a planned stop is over. While it stops it goes on forwarding:
// packets come until the routers have noticed, and where a zone has few balancers they come until the end.
class ForwarderLifecycle {
public:
    explicit ForwarderLifecycle(LifecycleSettings settings = {})
        : settings_(settings)
    {
    }

    // The routes and the servers are known. True when that makes it ready.
    bool noteSynced();
    // The order to stop. Repeated orders change nothing. True for the first.
    bool stop(TimePoint now);
    void notePacket(TimePoint now) { lastPacket_ = now; }

    bool hasSynced() const { return hasSynced_; }
    bool isReady() const { return hasSynced_ && !stoppingSince_; }
    bool isStopping() const { return stoppingSince_.has_value(); }
    bool isStopped(TimePoint now) const;

private:
    LifecycleSettings settings_;
    bool hasSynced_ = false;
    std::optional<TimePoint> stoppingSince_;
    TimePoint lastPacket_ = TimePoint::min();
};

}
