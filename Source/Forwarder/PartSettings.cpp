#include "Forwarder/PartSettings.h"

#include <chrono>

namespace wisteriadock {

RouterSettings routerSettingsOf(const ForwarderSettings& settings)
{
    RouterSettings router;
    router.availabilityZone = settings.availabilityZone;
    router.opening = settings.opening;
    router.coldStart = settings.coldStart;
    router.overload = settings.overload;
    router.wallClockOffset = std::chrono::duration_cast<Duration>(
        std::chrono::system_clock::now().time_since_epoch() - Clock::now().time_since_epoch());
    // Longer than a flow lasts, for packets that are still in flight.
    router.directory.retention = settings.longestFlow * 5 / 4;
    router.measuresLoad = settings.loadReportInterval.count() > 0;
    router.acknowledgementDelay = settings.acknowledgementDelay;
    return router;
}

StoreFeedSettings storeFeedSettingsOf(const ForwarderSettings& settings, std::string_view sampleStart)
{
    StoreFeedSettings feed;
    feed.linkMegabits = settings.linkMegabits;
    feed.sampleStart = sampleStart;
    feed.confirmsAtOnce = settings.stalenessBound().count() > 0;
    return feed;
}

LoadExchangeSettings loadExchangeSettingsOf(const ForwarderSettings& settings)
{
    LoadExchangeSettings load;
    load.interval = settings.loadReportInterval;
    return load;
}

ReplicaSyncSettings replicaSyncSettingsOf(const ForwarderSettings& settings)
{
    ReplicaSyncSettings sync;
    sync.maxStaleness = settings.stalenessBound();
    return sync;
}

Member memberOf(const ForwarderSettings& settings, std::uint64_t incarnation)
{
    Member member;
    member.id = balancerIdOf(settings.vm);
    member.name = settings.vm;
    member.availabilityZone = settings.availabilityZone;
    member.peerAddress = settings.peer;
    member.flowAddress = settings.flow;
    member.requestAddress = settings.peer;
    member.incarnation = incarnation;
    member.linkMegabits = settings.linkMegabits;
    return member;
}

}
