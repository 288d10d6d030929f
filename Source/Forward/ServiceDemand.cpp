#include "Forward/ServiceDemand.h"

#include <algorithm>
#include <limits>

namespace wisteriadock {

namespace {

    // A caller makes up to three attempts, so a request that is rejected each time counts once.
    constexpr float attemptsPerRequest = 3;

}

ServiceDemand::ServiceDemand(const ServiceLoad& load, const std::vector<ZoneSlots>& zones)
    : load_(load)
    , zones_(zones)
{
}

float ServiceDemand::slotsPerServed(const std::string& serverZone) const
{
    const auto zone = std::ranges::find(zones_, serverZone, &ZoneSlots::availabilityZone);
    float served = 0;
    for (const ServiceLoadRow& row : load_.rows)
        served += row.serverZone == serverZone ? row.load.served : 0;
    if (zone == zones_.end() || zone->slots <= 0 || served <= 0)
        return std::numeric_limits<float>::infinity();
    return zone->slots / served;
}

float ServiceDemand::ofRow(const ServiceLoadRow& row) const
{
    const float accepted = std::max(0.0F, row.load.begun - row.load.rejected);
    const float arrivals = accepted + row.load.rejected / attemptsPerRequest;
    // Without arrivals the product would be undefined for an infinite factor.
    return arrivals > 0 ? std::min(row.load.inProgress, arrivals * slotsPerServed(row.serverZone)) : 0;
}

float ServiceDemand::ofCallers(const std::string& availabilityZone) const
{
    float demand = 0;
    for (const ServiceLoadRow& row : load_.rows)
        demand += row.callerZone == availabilityZone ? ofRow(row) : 0;
    return demand;
}

float ServiceDemand::ofPriority(std::uint32_t priority) const
{
    float demand = 0;
    for (const ServiceLoadRow& row : load_.rows)
        demand += row.priority == priority ? ofRow(row) : 0;
    return demand;
}

float ServiceDemand::total() const
{
    float demand = 0;
    for (const ServiceLoadRow& row : load_.rows)
        demand += ofRow(row);
    return demand;
}

float ServiceDemand::slots() const
{
    float slots = 0;
    for (const ZoneSlots& zone : zones_)
        slots += zone.slots;
    return slots;
}

float ServiceDemand::rejectedShare() const
{
    float begun = 0;
    float rejected = 0;
    for (const ServiceLoadRow& row : load_.rows) {
        begun += row.load.begun;
        rejected += row.load.rejected;
    }
    return begun > 0 ? std::min(1.0F, rejected / begun) : 0;
}

}
