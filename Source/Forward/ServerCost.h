#pragma once

#include "Core/Clock.h"
#include "Forward/OpeningSettings.h"
#include "Forward/ServerDirectory.h"

#include <string>
#include <vector>

namespace wisteriadock {

// Computes the cost of sending a new flow to a server, in requests per slot: from the load that this balancer sees,
// whether the server is cold or in another zone, and its share of unanswered requests. OpeningPolicy calls it.
class ServerCost {
public:
    explicit ServerCost(OpeningSettings settings)
        : settings_(settings)
    {
    }

    // nearZone: the zone whose servers cost no zone penalty; the own zone, or the one that ZoneSpillover selected.
    // usualFailingShare is the result of failingShareOf() for the service.
    float costOf(const KnownServer&, const std::string& nearZone, float usualFailingShare, TimePoint now) const;
    // Returns the load in requests per slot.
    float loadOf(const KnownServer&) const;
    // A lower bound of the cost of any server of another zone than the near one.
    float minOtherZoneCost() const { return settings_.zonePenalty; }
    // Returns the share of unanswered requests of all servers of these groups together, 0 to 1.
    static float failingShareOf(const std::vector<ServerGroup*>&, TimePoint now);

private:
    OpeningSettings settings_;
};

}
