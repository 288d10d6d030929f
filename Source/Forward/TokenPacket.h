#pragma once

#include "Core/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <utility>

namespace wisteriadock {

// The two ends of a flow as its packets carry them.
struct FlowEnds {
    Endpoint caller;
    // The address and port of the route.
    Endpoint route;

    bool operator==(const FlowEnds&) const = default;

    template <typename HashState> friend HashState AbslHashValue(HashState state, const FlowEnds& ends)
    {
        return HashState::combine(std::move(state), ends.caller, ends.route);
    }
};

// The header of a packet with a return token: whatever token a packet carries to one end, that end puts into the
// packets that it sends. Whoever forwards the first packet writes the token, and can so find the flow's backend server
// for every later one without any state of its own.
struct TokenPacket {
    FlowEnds ends;
    // 0 while no token was received on the flow.
    std::uint32_t token = 0;
    std::uint32_t sequence = 0;
    // On an opening packet, the number of copies that were sent before.
    std::uint32_t acknowledgement = 0;
    bool opens = false;
    bool acknowledges = false;
    bool finishes = false;
    bool resets = false;
    // A balancer sent it on to another.
    bool wasBounced = false;
    std::uint16_t payloadBytes = 0;
};

}
