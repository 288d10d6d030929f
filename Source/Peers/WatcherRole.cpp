#include "Peers/WatcherRole.h"

namespace wisteriadock {

void WatcherRole::start(bool expectsPeers, TimePoint now)
{
    discoveringSince_ = expectsPeers ? std::optional(now) : std::nullopt;
}

bool WatcherRole::isWatcher(const Membership& membership, TimePoint now) const
{
    const MembersView& view = *membership.view();
    const bool knowsOthers = view.members.size() >= minMembersToElectWatchers;
    const Duration limit = knowsOthers ? settings_.settleTimeout : settings_.contactTimeout;
    const bool isWaiting = discoveringSince_ && now - *discoveringSince_ < limit;
    if (isWaiting && !membership.isSettled(now))
        return false;
    return isConfigurationWatcher(view, settings_.counts);
}

}
