#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wisteriadock {

// The requests of one priority class of a service, of the callers of one availability zone, at the servers of one zone.
// Rates are per second.
struct RequestLoad {
    // Requests in progress, averaged over the last report interval.
    float inProgress = 0;
    float begun = 0;
    float served = 0;
    float rejected = 0;
    float unanswered = 0;
    // Mean time until the answer of the served requests; zero if there were none.
    Duration answerTime {};
};

// One row of what is known of a service's load.
struct ServiceLoadRow {
    // The zone of the callers' balancers, and that of the servers.
    std::string callerZone;
    std::string serverZone;
    // As in FlowRoute::priority: 0 is the most urgent.
    std::uint32_t priority = 0;
    RequestLoad load;
};

// The load of a service as the balancers of all zones see it together. Soft state: rows of a zone that is not heard of
// expire. It places and admits new flows, and proves nothing about servers or zones.
struct ServiceLoad {
    std::vector<ServiceLoadRow> rows;
    // The zones whose callers' load is known; a zone without rows has none. The room of other zones is unknown.
    std::set<std::string> callerZones {};

    // Requests in progress of a zone's callers, at servers of any zone.
    float demandOf(const std::string& callerZone) const;
    // Requests in progress of all callers at any server, of this priority or of all.
    float totalDemand(std::optional<std::uint32_t> priority = std::nullopt) const;
};

}
