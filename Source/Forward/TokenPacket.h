#pragma once

#include "Core/Endpoint.h"
#include "Core/Hash.h"

#include <cstddef>
#include <cstdint>
#include <utility>

namespace wisteriadock {

// The two endpoints of a flow as its packets carry them; the key of a flow.
struct FlowEnds {
    Endpoint caller;
    // The address and port that the caller connected to; see FlowRoute.
    Endpoint route;

    bool operator==(const FlowEnds&) const = default;

    template <typename HashState> friend HashState AbslHashValue(HashState state, const FlowEnds& ends)
    {
        return HashState::combine(std::move(state), ends.caller, ends.route);
    }
};

// Hashes a flow; all balancers compute the same value.
inline std::uint64_t hashOf(const FlowEnds& ends)
{
    return hashPair((std::uint64_t(ends.caller.address) << 16) | ends.caller.port, ends.route.address);
}

// The decoded header of a packet of the token protocol. Each endpoint sends the token that it received last on the
// flow. The balancer that forwards the opening packet writes the token of the chosen server, so any balancer can find
// the server of later packets without state of its own.
struct TokenPacket {
    FlowEnds ends;
    // 0 until the sender has received a token on the flow.
    std::uint32_t token = 0;
    std::uint32_t sequence = 0;
    // On an opening packet: the number of copies sent before. Otherwise the next byte expected from the other side.
    std::uint32_t acknowledgement = 0;
    // Flags of the packet, comparable to SYN, ACK, FIN and RST of TCP.
    bool opens = false;
    bool acknowledges = false;
    bool finishes = false;
    bool resets = false;
    // Another balancer has already passed the packet on.
    bool wasBounced = false;
    std::uint16_t payloadBytes = 0;
};

}
