#pragma once

#include "Core/Clock.h"
#include "Forward/OpeningSettings.h"
#include "Forward/ServerDirectory.h"

#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// Who has room: what a new flow costs at a server, by the work that this balancer knows of, whether the server is cold
// or far, and how many of its requests it leaves unanswered.
class ServerCost {
public:
    ServerCost(std::string availabilityZone, OpeningSettings settings)
        : availabilityZone_(std::move(availabilityZone))
        , settings_(settings)
    {
    }

    // usualFailingShare is that of all servers of the service.
    float costOf(const KnownServer&, float usualFailingShare, TimePoint now) const;
    // Requests for each slot.
    float loadOf(const KnownServer&) const;
    // Of all requests to these servers. When all fail alike, the cause lies elsewhere, and none is worse than another.
    static float failingShareOf(const std::vector<KnownServer*>&, TimePoint now);

private:
    std::string availabilityZone_;
    OpeningSettings settings_;
};

}
