#pragma once

#include "Forward/TokenPacket.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace wisteriadock {

// Packets as callers and backend servers write and check them: with a keyed sum, which the balancers between them can
// neither know nor change.

// The sum's key of this run's callers and servers.
inline constexpr std::uint64_t soakChecksumKey = 0x736F616B;

std::vector<std::uint8_t> encodeWithChecksum(const TokenPacket&, std::span<const std::uint8_t> payload = {});
// Whether the packet is as its sender wrote it. A reset of a balancer's own has no sum, and is none of a sender's.
bool hasValidChecksum(std::span<const std::uint8_t> datagram);
// Resets of balancers carry no sum.
bool hasNoChecksum(std::span<const std::uint8_t> datagram);

}
