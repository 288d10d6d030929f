#pragma once

#include "Flow/FlowPolicy.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace wisteriadock {

// Limits and durations of the flow engine. The daemon reads them from section [flow] of its settings.
struct FlowSettings {
    FlowPolicy policy = FlowPolicy::Protected;
    // Flow table shards per service, each with its own lock; more shards reduce contention between packet threads.
    std::uint32_t shardsPerService = 32;
    // Maximum number of tracked flows over all services. At the limit, new flows are routed but not tracked.
    std::size_t trackedFlows = 2'000'000;
    // A joining balancer that sees no serving balancer for this long takes its own tables as settled (cold start).
    std::chrono::milliseconds bootstrapWait { 1500 };
    // An arbiter waits this long without progress for missing reports. Then it switches without them, or cancels the
    // change if only weight factors change.
    std::chrono::milliseconds reportTimeout { 3000 };
    // Unacknowledged messages are sent again after this time.
    std::chrono::milliseconds retryInterval { 200 };
    // Limit on the flow lists that this balancer sends during table changes, over all services, in bytes per second.
    std::uint32_t transitionBytesPerSecond = 128 * 1024;
    // Interval at which the arbiter of a service recomputes the weight factors of its backend servers.
    std::chrono::milliseconds weightsInterval { 2000 };
    // If the last tick is longer ago than this, the process is considered paused and drops packets.
    std::chrono::milliseconds pauseThreshold { 1000 };
    // How long a server that was removed from the configuration keeps its remaining flows.
    std::chrono::seconds retiredServerRetention { 3600 };
};

}
