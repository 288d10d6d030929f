#include "Forward/ZoneReach.h"

#include "Forward/SilentServers.h"

namespace wisteriadock {

bool ZoneReach::isUnproven(const Zone& zone, TimePoint now) const
{
    return zone.lastProgress == TimePoint::min() || now - zone.lastProgress > settings_.zoneProof;
}

ZoneReach::Reach ZoneReach::reachOf(const std::string& availabilityZone, TimePoint now)
{
    if (availabilityZone == ownZone_)
        return Reach::Near;
    Zone& zone = otherZones_[availabilityZone];
    if (zone.waitingSince != TimePoint::max() && now - zone.waitingSince > settings_.openingPatience) {
        zone.waitingSince = TimePoint::max();
        zone.leftOutUntil = now + leaveOutAfter(zone.failures, settings_);
        ++zone.failures;
        changes_.push_back({ availabilityZone, false, zone.failures });
    }
    const bool isBeingTried = zone.waitingSince != TimePoint::max();
    if (zone.leftOutUntil > now)
        return Reach::Away;
    return isBeingTried && isUnproven(zone, now) ? Reach::Unproven : Reach::Near;
}

void ZoneReach::noteTry(const KnownServer& server, TimePoint now)
{
    if (server.entry.availabilityZone == ownZone_)
        return;
    Zone& zone = otherZones_[server.entry.availabilityZone];
    if (zone.waitingSince == TimePoint::max() && isUnproven(zone, now))
        zone.waitingSince = now;
}

void ZoneReach::noteProgress(const KnownServer& server, TimePoint now)
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
