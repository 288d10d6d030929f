#include "Forward/ZoneReachability.h"

#include "Forward/ServerLiveness.h"

namespace wisteriadock {

bool ZoneReachability::isUnproven(const Zone& zone, TimePoint now) const
{
    return zone.lastProgress == TimePoint::min() || now - zone.lastProgress > settings_.zoneLivenessTimeout;
}

ZoneReachability::State ZoneReachability::stateOf(const std::string& availabilityZone, TimePoint now)
{
    if (availabilityZone == ownZone_)
        return State::Reachable;
    Zone& zone = otherZones_[availabilityZone];
    if (zone.waitingSince != TimePoint::max() && now - zone.waitingSince > settings_.openingTimeout) {
        zone.waitingSince = TimePoint::max();
        zone.ejectedUntil = now + ejectionTime(zone.failures, settings_);
        ++zone.failures;
        changes_.push_back({ availabilityZone, false, zone.failures });
    }
    const bool isBeingTried = zone.waitingSince != TimePoint::max();
    if (zone.ejectedUntil > now)
        return State::Unreachable;
    return isBeingTried && isUnproven(zone, now) ? State::Unproven : State::Reachable;
}

void ZoneReachability::noteAttempt(const KnownServer& server, TimePoint now)
{
    if (server.entry.availabilityZone == ownZone_)
        return;
    Zone& zone = otherZones_[server.entry.availabilityZone];
    if (zone.waitingSince == TimePoint::max() && isUnproven(zone, now))
        zone.waitingSince = now;
}

void ZoneReachability::noteProgress(const KnownServer& server, TimePoint now)
{
    if (server.entry.availabilityZone == ownZone_)
        return;
    Zone& zone = otherZones_[server.entry.availabilityZone];
    if (zone.failures > 0)
        changes_.push_back({ server.entry.availabilityZone, true, zone.failures });
    zone = {};
    zone.lastProgress = now;
}

}
