#pragma once

namespace wisteriadock {

// Which decisions on new flows use the load that balancers share; see ZoneSpillover and PriorityAdmission.
struct OverloadSettings {
    bool zoneSpillover = false;
    bool priorityAdmission = false;

    bool operator==(const OverloadSettings&) const = default;
};

}
