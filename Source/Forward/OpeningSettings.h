#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace wisteriadock {

// How new flows find their servers. Operators may change what ForwarderSettings reads of it.
struct OpeningSettings {
    // How much of the known work counts. 0: servers are told apart by a hash alone.
    float loadWeight = 1;
    // What a server of another availability zone must be less loaded by, in requests for each of its slots.
    float zonePenalty = 1.25F;
    // How much of a request an open flow without one counts as.
    float idleFlowWeight = 0.05F;
    // How much slower a server is that has just started.
    float coldFactor = 1.6F;
    // What a server that leaves all requests unanswered must be less loaded by, in requests for each of its slots, when
    // others answer.
    float failingPenalty = 6;
    // So much more than others it may fail without any.
    float failingTolerance = 0.02F;
    // An opening that waits for longer speaks against its server: the first answer takes a few milliseconds.
    std::chrono::milliseconds openingTimeout { 150 };
    // So many servers of a service in one zone that fell silent together speak against all of them there; 0 or 1: each
    // is judged by itself.
    std::uint32_t groupEjectionThreshold = 3;
    // Where flows open faster than it, a wait of this length is still nothing unusual: a VM's turn on a shared core may
    // come that late.
    std::chrono::milliseconds minOpeningTimeout { 20 };
    // How long a silent server is left out at first and at most; one flow at a time then tries it again.
    std::chrono::milliseconds baseEjectionTime { 500 };
    std::chrono::milliseconds maxEjectionTime { 4000 };
    // Another zone that gave no sign of life for so long may be cut off: it gets one new flow at a time.
    std::chrono::milliseconds zoneLivenessTimeout { 1000 };

    bool operator==(const OpeningSettings&) const = default;
};

}
