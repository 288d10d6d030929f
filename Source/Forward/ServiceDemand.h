#pragma once

#include "Forward/ServiceLoad.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriadock {

// The slots of a service's servers in one availability zone that may get new flows.
struct ZoneSlots {
    std::string availabilityZone;
    float slots = 0;
};

// What a service's callers need, in slots, by the shared load. The requests in progress overstate it at full servers,
// since they include the ones that wait in queues. There, arrivals relative to the rate served tell the need.
// OverloadControl computes it at every tick for ZoneSpillover and PriorityAdmission.
class ServiceDemand {
public:
    // The load and the zones must outlive this object. Rows of servers in zones that are not among these count with all
    // their requests in progress.
    ServiceDemand(const ServiceLoad&, const std::vector<ZoneSlots>&);

    // The demand of a zone's callers at servers of any zone.
    float ofCallers(const std::string& availabilityZone) const;
    float ofPriority(std::uint32_t priority) const;
    float total() const;
    // Requests in progress of all callers, including those that wait.
    float inProgress() const { return load_.totalDemand(); }
    float slots() const;
    // The share of attempts that servers rejected, 0 to 1.
    float rejectedShare() const;

private:
    float ofRow(const ServiceLoadRow&) const;
    // Slots per rate of served requests at the servers of a zone; infinite if unknown. It is the service time while all
    // slots are in use, and more otherwise.
    float slotsPerServed(const std::string& serverZone) const;

    const ServiceLoad& load_;
    const std::vector<ZoneSlots>& zones_;
};

}
