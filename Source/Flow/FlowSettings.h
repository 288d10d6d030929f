#pragma once

#include "Flow/FlowPolicy.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace wisteriadock {

// Limits and times of the flow engine; the daemon reads them from [flow] in its settings.
struct FlowSettings {
    FlowPolicy policy = FlowPolicy::Protected;
    // Locks per service; more of them let more threads run side by side.
    std::uint32_t shardsPerService = 32;
    // Flows tracked over all services. When full, new flows are served by the table without being tracked.
    std::size_t trackedFlows = 2'000'000;
    // A joining balancer that sees no serving one for this long takes the tables as settled (a cold start).
    std::chrono::milliseconds bootstrapWait { 1500 };
    // An arbiter waits this long for the reports of balancers that count as alive, then goes on without them.
    std::chrono::milliseconds reportTimeout { 3000 };
    // Unanswered control messages are sent again after this time.
    std::chrono::milliseconds retryInterval { 200 };
    // Control bytes a second that one balancer may send while tables change, over all services.
    std::uint32_t transitionBytesPerSecond = 128 * 1024;
    // How often the arbiter of a service reviews what its servers should get.
    std::chrono::milliseconds weightsInterval { 2000 };
    // A gap between two ticks above this is taken as a pause of the whole process.
    std::chrono::milliseconds pauseThreshold { 1000 };
    // How long the address of a server that was removed from the configuration is kept for its remaining flows.
    std::chrono::seconds retiredServerRetention { 3600 };
};

}
