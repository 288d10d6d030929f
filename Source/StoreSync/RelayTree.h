#pragma once

#include "Membership/Member.h"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace wisteriadock {

// A range of members by their ids, both ends included. Empty by default.
struct RelayRange {
    std::uint32_t first = 1;
    std::uint32_t last = 0;

    bool contains(BalancerId id) const { return id.value >= first && id.value <= last; }
    bool operator==(const RelayRange&) const = default;
};

// How a message is passed on.
struct Relay {
    // The balancer that sent the message first.
    BalancerId origin;
    // The members that its receiver passes it on to.
    RelayRange range;
};

// A piece of a delta in a datagram that its receiver passes on.
struct RelayedDeltaMessage {
    std::uint32_t origin = 0;
    std::uint32_t first = 1;
    std::uint32_t last = 0;
    bool isCompressed = false;
    // See DeltaPiece.
    std::vector<std::uint8_t> bytes;

    MSGPACK_DEFINE_ARRAY(origin, first, last, isCompressed, bytes);

    Relay relay() const { return { BalancerId { origin }, { first, last } }; }
};

// A member that is sent a message, and the range of members that it passes the message on to.
struct RelayTarget {
    const Member* member = nullptr;
    RelayRange range;
};

// One level of a broadcast tree: divides the receivers into at most fanout + 1 ranges and chooses a member of each to
// pass the message on to the rest of its range. So every balancer sends a message to few others, however many there
// are. The receivers are sorted by id and don't include self, which no range contains, so no message returns to its
// sender. Members are chosen at random, those with fast links more often.
std::vector<RelayTarget> relayTargets(
    const std::vector<const Member*>& receivers, BalancerId self, std::size_t fanout, std::mt19937_64&);

}
