#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Forward/ServiceDemand.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// A service's level passed a tenth or returned to zero; for the log.
struct ShedLevelChange {
    std::string service;
    float level = 0;
    float demand = 0;
    float slots = 0;
};

// Refuses new flows of the least urgent priorities first while a service's servers have no room. The level of a service
// is the number of its priorities that are refused: 0.6 refuses 60% of the openings of the least urgent one, 1.3 all of
// these and 30% of the next. The level is set such that the admitted demand is just above the slots. OverloadControl
// calls it.
class PriorityAdmission {
public:
    // A change is reported when the level passes this.
    static constexpr float reportedLevel = 0.1F;

    // wallClockOffset: the time of day minus the monotonic clock. Balancers with similar wall clocks choose the same
    // callers in a window, so a refused caller does not get in by retrying through another balancer.
    explicit PriorityAdmission(Duration wallClockOffset = {})
        : wallClockOffset_(wallClockOffset)
    {
    }

    // Moves the level of a service. priorities: those of its routes, the most urgent first, at least two.
    // lateShare: the share of flows that OpeningAdmission would refuse by answer times.
    void update(const std::string& service, const ServiceDemand&, const std::vector<std::uint32_t>& priorities,
        double lateShare, TimePoint now);
    // The load of the service is unknown, or its routes have one priority.
    void forget(const std::string& service);
    // Whether admission of the service is decided here.
    bool isKnown(const std::string& service) const { return services_.contains(service); }
    // Decides on the first opening packet of a flow.
    bool isRefused(const std::string& service, std::uint32_t priority, Endpoint caller, TimePoint now) const;
    // The level in force; zero if unknown.
    float levelOf(const std::string& service) const;
    std::vector<ShedLevelChange> takeChanges() { return std::exchange(changes_, {}); }

private:
    struct Level {
        // The most urgent first.
        std::vector<std::uint32_t> priorities;
        float value = 0;
        bool isIdle = false;
        bool isReported = false;
        TimePoint updatedAt = TimePoint::min();
        // The values in force since these times, as far back as the known load was caused.
        std::deque<std::pair<TimePoint, float>> former;
    };

    // The share of refused openings of a priority by its rank, 0 for the least urgent one.
    static float refusedShare(float level, std::size_t rank);
    // The level that admits as much as the servers can do.
    static float targetOf(const Level&, float formerLevel, const ServiceDemand&, double lateShare);
    void report(const std::string& service, Level&, const ServiceDemand*);

    Duration wallClockOffset_;
    absl::flat_hash_map<std::string, Level> services_;
    std::vector<ShedLevelChange> changes_;
};

}
