#pragma once

#include "Forward/TokenPacket.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace wisteriadock {

// Packets as the callers and backend servers of a soak run write and check them: with a keyed checksum that balancers
// cannot compute, so that a packet changed on the way is detected.

// The key that all callers and servers of a run share.
inline constexpr std::uint64_t soakChecksumKey = 0x736F616B;

std::vector<std::uint8_t> encodeWithChecksum(const TokenPacket&, std::span<const std::uint8_t> payload = {});
// Whether the packet is as a caller or server wrote it.
bool hasValidChecksum(std::span<const std::uint8_t> datagram);
// True of resets that a balancer sends itself.
bool hasNoChecksum(std::span<const std::uint8_t> datagram);

}
