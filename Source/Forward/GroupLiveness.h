#pragma once

#include "Core/Clock.h"
#include "Forward/OpeningLatency.h"
#include "Forward/OpeningSettings.h"
#include "Forward/ServerDirectory.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// A group, that is the servers of a service in one availability zone, was ejected or has recovered; for the log.
struct GroupLivenessChange {
    std::string service;
    std::string availabilityZone;
    bool hasRecovered = false;
    // Number of unresponsive servers and of all servers in the group, and of consecutive ejections.
    std::uint32_t unresponsive = 0;
    std::uint32_t servers = 0;
    std::uint32_t failures = 0;
};

// Detects that all servers of a service in one availability zone have failed together. A group is ejected when several
// of its servers leave openings unanswered and none has answered since. It then gets one trial flow at a time until a
// server answers. Judging each server alone would cost every balancer one lost opening per server,
// and callers that try again meet another balancer, which has lost none yet. OpeningPolicy calls
// it for every new flow.
class GroupLiveness {
public:
    // The latency must outlive this object.
    GroupLiveness(OpeningSettings settings, const OpeningLatency& openingLatency)
        : settings_(settings)
        , openingLatency_(openingLatency)
    {
    }

    // Updates the state of the groups of a service. Called before every choice among their servers.
    void review(const std::vector<ServerGroup*>& groups, TimePoint now);
    // Returns whether the group is ejected or its trial flow is still unanswered.
    static bool isEjected(const ServerGroup&, TimePoint now);

    // Records that an opening packet was sent to a server of the group.
    static void noteAttempt(ServerGroup&, TimePoint now);
    // Records that a server of the group answered.
    void noteProgress(ServerGroup&, TimePoint now);

    // Returns the changes since the last call.
    std::vector<GroupLivenessChange> takeChanges() { return std::exchange(changes_, {}); }

private:
    Duration timeout() const;
    static void countServers(ServerGroup&, Duration timeout, TimePoint now);
    void eject(ServerGroup&, TimePoint now);

    OpeningSettings settings_;
    const OpeningLatency& openingLatency_;
    std::vector<GroupLivenessChange> changes_;
};

}
