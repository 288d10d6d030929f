#pragma once

#include "Core/Clock.h"
#include "Membership/Membership.h"
#include "Peers/ConfigurationWatchers.h"

#include <chrono>
#include <optional>

namespace wisteriadock {

struct WatcherRoleSettings {
    WatcherCounts counts {};
    // How long after its start a balancer that knows enough others waits for its view to settle. Kept short: the data
    // that a start reads from the platform may be seconds old, and only a watch shows what has changed since.
    std::chrono::milliseconds settleTimeout { 1000 };
    // The same for a balancer that knows fewer than minMembersToElectWatchers.
    std::chrono::milliseconds contactTimeout { 3000 };
};

// Decides whether this balancer watches the platform for the others, as isConfigurationWatcher() does, but with a delay
// after the start. A balancer that has just started knows few members and would often choose itself, so a fleet that
// starts together would send many watches. It leaves watching to others until its view has settled, for a bounded time,
// since there may be no others. Used by PeerSync.
class WatcherRole {
public:
    explicit WatcherRole(WatcherRoleSettings settings)
        : settings_(settings)
    {
    }

    // Begins the delay. expectsPeers is false when no address of another balancer is known; then there is no delay.
    void start(bool expectsPeers, TimePoint now);
    bool isWatcher(const Membership&, TimePoint now) const;

private:
    const WatcherRoleSettings settings_;
    // Start of the delay; none without a delay.
    std::optional<TimePoint> discoveringSince_;
};

}
