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

// Another zone stopped giving signs of life, or gives them again.
struct ZoneReachabilityChange {
    std::string availabilityZone;
    bool hasRecovered = false;
    std::uint32_t failures = 0;
};

// Which other availability zones can be reached, judged by what all of their servers show together. In a cut every
// server of another zone is silent at once, and the busier the own servers are, the more the others tempt: each being
// tried for itself, two of three new flows went to the far side.
class ZoneReachability {
public:
    ZoneReachability(std::string ownZone, OpeningSettings settings)
        : ownZone_(std::move(ownZone))
        , settings_(settings)
    {
    }

    enum class State {
        Reachable, // Nothing speaks against it.
        Unproven, // Not heard of lately, and a flow is trying it.
        Unreachable, // That flow failed.
    };
    // A zone that has not been heard of lately gets one flow at a time, and none for a while after that one failed.
    State stateOf(const std::string& availabilityZone, TimePoint now);
    // An opening packet goes to the server.
    void noteAttempt(const KnownServer&, TimePoint now);
    // The server gave a sign of life.
    void noteProgress(const KnownServer&, TimePoint now);
    // What became of other zones since the last call.
    std::vector<ZoneReachabilityChange> takeChanges() { return std::exchange(changes_, {}); }

private:
    struct Zone {
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
