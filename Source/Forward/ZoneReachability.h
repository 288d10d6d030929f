#pragma once

#include "Core/Clock.h"
#include "Forward/OpeningSettings.h"
#include "Forward/ServerDirectory.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// Another zone became unreachable or reachable again; for the log.
struct ZoneReachabilityChange {
    std::string availabilityZone;
    bool hasRecovered = false;
    // Number of consecutive failed trials.
    std::uint32_t failures = 0;
};

// Tracks which other availability zones are reachable, by the answers of all servers of a zone together. During a
// network partition all servers of a zone become unresponsive at once while their load looks low, so judging each
// server alone would lose many new flows. OpeningPolicy calls it.
class ZoneReachability {
public:
    ZoneReachability(std::string ownZone, OpeningSettings settings)
        : ownZone_(std::move(ownZone))
        , settings_(settings)
    {
    }

    enum class State {
        Reachable, // A server of the zone answered recently, or no trial flow is waiting.
        Unproven, // No recent answer, and a trial flow is waiting for one.
        Unreachable, // The trial flow got no answer; the zone is ejected.
    };
    // Returns the state of a zone and ejects the zone if its trial flow has waited too long. A zone without recent
    // answers gets one flow at a time, and none while it is ejected.
    State stateOf(const std::string& availabilityZone, TimePoint now);
    // Returns whether the zone is ejected, without reviewing its trial flow.
    bool isEjected(const std::string& availabilityZone, TimePoint now) const
    {
        const auto found = otherZones_.find(availabilityZone);
        return found != otherZones_.end() && found->second.ejectedUntil > now;
    }
    // Records that an opening packet was sent to the server.
    void noteAttempt(const KnownServer&, TimePoint now);
    // Records that the server answered.
    void noteProgress(const KnownServer&, TimePoint now);
    // Returns the changes since the last call.
    std::vector<ZoneReachabilityChange> takeChanges() { return std::exchange(changes_, {}); }

private:
    struct Zone {
        // When a server of the zone last answered, and since when a trial flow waits.
        TimePoint lastProgress = TimePoint::min();
        TimePoint waitingSince = TimePoint::max();
        std::uint32_t failures = 0;
        TimePoint ejectedUntil = TimePoint::min();
    };

    bool isUnproven(const Zone&, TimePoint now) const;

    std::string ownZone_;
    OpeningSettings settings_;
    absl::flat_hash_map<std::string, Zone> otherZones_;
    std::vector<ZoneReachabilityChange> changes_;
};

}
