#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace wisteriadock {

// Settings of the choice of a backend server for a new flow. Operators can set the ones that ForwarderSettings reads.
struct OpeningSettings {
    // Weight of a server's load in its cost. 0: load does not count.
    float loadWeight = 1;
    // Cost added to servers of other availability zones, in requests per slot.
    float zonePenalty = 1.25F;
    // Load of an open flow without a request in progress, as a share of one request.
    float idleFlowWeight = 0.05F;
    // Factor on the load of a cold server.
    float coldFactor = 1.6F;
    // Cost added to a server that leaves all requests unanswered while others answer, in requests per slot. It scales
    // with the share of unanswered requests.
    float failingPenalty = 6;
    // Share of unanswered requests above the service's average that adds no cost.
    float failingTolerance = 0.02F;
    // A server is ejected when an opening packet waits longer for its answer.
    std::chrono::milliseconds openingTimeout { 150 };
    // Number of unresponsive servers from which on a whole group is ejected, see GroupLiveness. 0 or 1: never.
    std::uint32_t groupEjectionThreshold = 3;
    // Lower bound of the timeout that GroupLiveness derives from the usual opening latency. Above the scheduling delays
    // of a VM on a shared core.
    std::chrono::milliseconds minOpeningTimeout { 20 };
    // First and longest ejection time. It doubles with each consecutive ejection. Afterwards one trial flow at a time
    // tests the server.
    std::chrono::milliseconds baseEjectionTime { 500 };
    std::chrono::milliseconds maxEjectionTime { 4000 };
    // Another zone without an answer for this time counts as unproven: it gets one new flow at a time.
    std::chrono::milliseconds zoneLivenessTimeout { 1000 };

    bool operator==(const OpeningSettings&) const = default;
};

}
