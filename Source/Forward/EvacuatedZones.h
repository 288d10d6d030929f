#pragma once

#include "Core/Clock.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// An operator's evacuation of an availability zone took effect or was revoked; for the log.
struct ZoneEvacuationChange {
    std::string availabilityZone;
    bool isEvacuated = false;
    // The store revision that contains the change.
    std::uint64_t revision = 0;
    // For a revocation: how long the evacuation was in effect on this balancer.
    Duration inForceFor {};
};

// The availability zones that operators have evacuated. Servers of such a zone get no new flows until the evacuation is
// revoked; open flows stay on their servers. TokenRouter maintains the set, and OpeningPolicy reads it.
class EvacuatedZones {
public:
    // Evacuates a zone or revokes its evacuation. Returns nothing if the zone was in that state already.
    std::optional<ZoneEvacuationChange> set(
        const std::string& availabilityZone, bool isEvacuated, std::uint64_t revision, TimePoint now)
    {
        inDoubt_.erase(availabilityZone);
        if (isEvacuated) {
            if (!since_.try_emplace(availabilityZone, now).second)
                return std::nullopt;
            return ZoneEvacuationChange { availabilityZone, true, revision, {} };
        }
        const auto entry = since_.find(availabilityZone);
        if (entry == since_.end())
            return std::nullopt;
        const ZoneEvacuationChange change { availabilityZone, false, revision, now - entry->second };
        since_.erase(entry);
        revokedAt_[availabilityZone] = now;
        return change;
    }

    // Has the order or its revocation take effect at a later time, unless set() is called for the zone until then.
    void setLater(const std::string& availabilityZone, bool isEvacuated, std::uint64_t revision, TimePoint at)
    {
        inDoubt_[availabilityZone] = { isEvacuated, revision, at };
    }
    // Returns the changes that take effect now.
    std::vector<ZoneEvacuationChange> tick(TimePoint now)
    {
        std::vector<ZoneEvacuationChange> changes;
        // A copy, since set() removes the row.
        for (const auto& [zone, change] : absl::flat_hash_map<std::string, ChangeInDoubt>(inDoubt_)) {
            if (now < change.at)
                continue;
            if (auto made = set(zone, change.isEvacuated, change.revision, now))
                changes.push_back(std::move(*made));
        }
        return changes;
    }

    bool contains(const std::string& availabilityZone) const
    {
        return !since_.empty() && since_.contains(availabilityZone);
    }
    // When the last evacuation of the zone was revoked; TimePoint::min() if none was.
    TimePoint revokedAt(const std::string& availabilityZone) const
    {
        const auto found = revokedAt_.find(availabilityZone);
        return found == revokedAt_.end() ? TimePoint::min() : found->second;
    }
    // By zone: since when it is evacuated.
    const absl::flat_hash_map<std::string, TimePoint>& all() const { return since_; }

private:
    struct ChangeInDoubt {
        bool isEvacuated = false;
        std::uint64_t revision = 0;
        TimePoint at;
    };

    absl::flat_hash_map<std::string, TimePoint> since_;
    // By zone: changes that take effect later.
    absl::flat_hash_map<std::string, ChangeInDoubt> inDoubt_;
    absl::flat_hash_map<std::string, TimePoint> revokedAt_;
};

}
