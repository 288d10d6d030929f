#pragma once

#include "Core/Clock.h"
#include "Forward/ServiceDemand.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

// The share of the own zone's new flows to another zone passed a tenth or returned to zero; for the log.
struct SpilloverChange {
    std::string service;
    std::string availabilityZone;
    float share = 0;
    float demand = 0;
};

// Decides which share of the own zone's new flows goes to each other zone while the own servers are fuller than others.
// All balancers of a zone use the same load and so send the same shares, and zones divide the room of another zone
// among them by their excess. OverloadControl calls it.
class ZoneSpillover {
public:
    // The share of a zone's slots that its own demand may use before flows go to other zones. The rest absorbs changes
    // during the second until they are known.
    static constexpr float fullFrom = 0.8F;
    // Change of a share per second. The load is known up to a second late, so faster changes would overshoot.
    static constexpr float maxChange = 0.2F;
    // A change is reported when a share passes this.
    static constexpr float reportedShare = 0.1F;

    explicit ZoneSpillover(std::string availabilityZone)
        : availabilityZone_(std::move(availabilityZone))
    {
    }

    // The share of its slots from which on a zone is full. While the service is busier than fullFrom on average, this
    // is the average: with fullFrom alone, no zone would have room for one that is overloaded.
    static float fullShareOf(const ServiceDemand&, const std::vector<ZoneSlots>&);

    // Moves the shares of a service towards what the demand requires. zones: those that may get flows; the shares of
    // others end at once.
    void update(const std::string& service, const ServiceDemand&, const std::vector<ZoneSlots>& zones, TimePoint now);
    // Ends all shares of the service, since its load is unknown.
    void forget(const std::string& service);
    // Returns the zone that a new flow goes to; null for the own zone. It depends only on the hash and the shares, so
    // copies of an opening go to the same zone.
    const std::string* zoneOf(const std::string& service, std::uint64_t flowHash) const;
    // Shares by zone.
    std::map<std::string, float> sharesOf(const std::string& service) const;
    std::vector<SpilloverChange> takeChanges() { return std::exchange(changes_, {}); }

private:
    struct Spill {
        // By zone; zero shares are removed.
        std::map<std::string, float> shares;
        // Zones whose share passed reportedShare since it was last zero.
        std::map<std::string, bool> reported;
        TimePoint updatedAt = TimePoint::min();
    };

    std::map<std::string, float> targetsOf(const ServiceDemand&, const std::vector<ZoneSlots>&) const;
    void report(const std::string& service, Spill&, float demand);

    std::string availabilityZone_;
    // By service.
    absl::flat_hash_map<std::string, Spill> spills_;
    std::vector<SpilloverChange> changes_;
};

}
