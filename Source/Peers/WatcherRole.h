#pragma once

#include "Core/Clock.h"
#include "Membership/Membership.h"
#include "Peers/ConfigurationWatchers.h"

#include <chrono>
#include <optional>

namespace wisteriadock {

struct WatcherRoleSettings {
    WatcherCounts counts {};
    // For so long after its start a balancer that has met others goes on learning of more before it goes by its view.
    // Not longer: what a start reads of the platform may be seconds old, and only a watch shows what changed since.
    std::chrono::milliseconds settleTimeout { 1000 };
    // For so long a balancer that has met hardly anybody waits to meet others.
    std::chrono::milliseconds contactTimeout { 3000 };
};

// Whether this balancer is among those that watch the platform for the others. Who has just started knows few members,
// so that it would take itself for the first of its availability zone: when all of a fleet of 195 started together,
// hundreds of watches were sent within two seconds. Until it has read the view of others it leaves watching to them,
// for a bounded time, since there may be no others.
class WatcherRole {
public:
    explicit WatcherRole(WatcherRoleSettings settings)
        : settings_(settings)
    {
    }

    // The process begins to meet others; expectsPeers is false where no address of another balancer is known.
    void start(bool expectsPeers, TimePoint now);
    bool isWatcher(const Membership&, TimePoint now) const;

private:
    const WatcherRoleSettings settings_;
    // Since when it waits for others; none when it does not.
    std::optional<TimePoint> discoveringSince_;
};

}
