#include "Forward/OverloadControl.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

void OverloadControl::setLoad(const std::string& service, ServiceLoad load)
{
    if (!settings_.zoneSpillover && !settings_.priorityAdmission)
        return;
    KnownLoad& known = services_[service];
    known.load = std::move(load);
    known.isNew = true;
}

const ServiceLoad* OverloadControl::findLoad(const std::string& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second.load;
}

// Only servers of zones whose callers' load is known can be judged. A zone that is not heard of would look empty.
void OverloadControl::decide(const std::string& service, KnownLoad& known, TimePoint now)
{
    const auto isUnknown = [&](const std::string& zone) { return !known.load.callerZones.contains(zone); };
    std::erase_if(known.load.rows, [&](const ServiceLoadRow& row) { return isUnknown(row.serverZone); });
    std::erase_if(known.inputs.zones, [&](const ZoneSlots& zone) { return isUnknown(zone.availabilityZone); });
    const ServiceDemand demand(known.load, known.inputs.zones);
    if (settings_.zoneSpillover && known.load.callerZones.size() > 1)
        spillover_.update(service, demand, known.inputs.zones, now);
    else
        spillover_.forget(service);
    if (settings_.priorityAdmission && known.inputs.priorities.size() > 1 && demand.slots() > 0)
        admission_.update(service, demand, known.inputs.priorities, known.inputs.lateShare, now);
    else
        admission_.forget(service);
}

std::vector<ServiceOverload> OverloadControl::overview() const
{
    std::vector<ServiceOverload> services;
    for (const auto& [service, known] : services_) {
        ServiceOverload row { service, admission_.levelOf(service), {}, {}, {}, spillover_.sharesOf(service) };
        const ServiceDemand demand(known.load, known.inputs.zones);
        const float full = ZoneSpillover::fullShareOf(demand, known.inputs.zones);
        for (const ZoneSlots& zone : known.inputs.zones) {
            row.slots[zone.availabilityZone] = zone.slots;
            const float needed = demand.ofCallers(zone.availabilityZone);
            row.demand[zone.availabilityZone] = needed;
            row.room[zone.availabilityZone] = std::max(0.0F, full * zone.slots - needed);
        }
        services.push_back(std::move(row));
    }
    return services;
}

}
