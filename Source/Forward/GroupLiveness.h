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

// The servers of a service in one availability zone fell silent together, or give signs of life again.
struct GroupLivenessChange {
    std::string service;
    std::string availabilityZone;
    bool hasRecovered = false;
    // How many of them were silent of how many, and how often they were left out in a row.
    std::uint32_t unresponsive = 0;
    std::uint32_t servers = 0;
    std::uint32_t failures = 0;
};

// Who is dead, judged by what all servers of a service in one availability zone show together. When all of them end at
// once, each balancer would otherwise lose an opening of its own for every one of them, and callers that try again meet
// another balancer which has lost none yet. Several that fall silent while none gave a sign of life since are proof
// enough against the others; all then get one flow at a time until one of them answers.
class GroupLiveness {
public:
    // The times outlive this.
    GroupLiveness(OpeningSettings settings, const OpeningLatency& openingLatency)
        : settings_(settings)
        , openingLatency_(openingLatency)
    {
    }

    // Looks at a service's servers before a choice among them.
    void review(const std::vector<KnownServer*>& servers, TimePoint now);
    // Whether the group is left out, or a trial of it is under way.
    static bool isEjected(const ServerGroup&, TimePoint now);

    // An opening packet goes to a server of the group.
    static void noteAttempt(ServerGroup&, TimePoint now);
    // One of them gave a sign of life.
    void noteProgress(ServerGroup&, TimePoint now);

    std::vector<GroupLivenessChange> takeChanges() { return std::exchange(changes_, {}); }

private:
    Duration timeout() const;
    void eject(ServerGroup&, TimePoint now);

    OpeningSettings settings_;
    const OpeningLatency& openingLatency_;
    std::vector<GroupLivenessChange> changes_;
};

}
