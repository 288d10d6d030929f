#include "Peers/WatcherRole.h"

namespace wisteriadock {

void WatcherRole::start(bool expectsOthers, TimePoint now)
{
    meetsSince_ = expectsOthers ? std::optional(now) : std::nullopt;
}

bool WatcherRole::isOn(const Membership& membership, TimePoint now) const
{
    const MembersView& view = *membership.view();
    const bool knowsOthers = view.members.size() >= minMembersToElectWatchers;
    const Duration limit = knowsOthers ? settings_.lookAround : settings_.meetWithin;
    const bool isWaiting = meetsSince_ && now - *meetsSince_ < limit;
    if (isWaiting && !membership.isSettled(now))
        return false;
    return isConfigurationWatcher(view, settings_.numbers);
}

}
