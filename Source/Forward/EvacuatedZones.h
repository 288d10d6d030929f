#pragma once

#include "Core/Clock.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace wisteriadock {

// An operator's order that a zone's backend servers get no new flows came into force, or was taken back.
struct ZoneEvacuationChange {
    std::string availabilityZone;
    bool isEvacuated = false;
    // The store's revision of the change.
    std::uint64_t revision = 0;
    // For how long an order that was taken back had been in force here.
    Duration inForceFor {};
};

// The availability zones that operators have ordered to be emptied. New flows go to no server there until the order is
// taken back; open flows stay where they are.
class EvacuatedZones {
public:
    // Nothing when the zone is in that state already.
    std::optional<ZoneEvacuationChange> set(
        const std::string& availabilityZone, bool isEvacuated, std::uint64_t revision, TimePoint now)
    {
        if (isEvacuated) {
            if (!since_.try_emplace(availabilityZone, now).second)
                return std::nullopt;
            return ZoneEvacuationChange { availabilityZone, true, revision, {} };
        }
        const auto order = since_.find(availabilityZone);
        if (order == since_.end())
            return std::nullopt;
        const ZoneEvacuationChange change { availabilityZone, false, revision, now - order->second };
        since_.erase(order);
        revokedAt_[availabilityZone] = now;
        return change;
    }

    bool contains(const std::string& availabilityZone) const
    {
        return !since_.empty() && since_.contains(availabilityZone);
    }
    // When the last order for the zone was taken back; TimePoint::min() when none was.
    TimePoint revokedAt(const std::string& availabilityZone) const
    {
        const auto found = revokedAt_.find(availabilityZone);
        return found == revokedAt_.end() ? TimePoint::min() : found->second;
    }
    // By zone, since when.
    const absl::flat_hash_map<std::string, TimePoint>& all() const { return since_; }

private:
    absl::flat_hash_map<std::string, TimePoint> since_;
    absl::flat_hash_map<std::string, TimePoint> revokedAt_;
};

}
