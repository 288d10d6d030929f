#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace wisteriadock {

// Added by a balancer that hands a flow packet to another balancer, so that packets never loop.
struct ForwardMark {
    BalancerId origin;
    // How many balancers handed the packet on so far.
    std::uint8_t hops = 0;

    bool operator==(const ForwardMark&) const = default;
};

// The PROXY protocol version 2 header (DGRAM over IPv4) that stands before each flow packet and carries the true
// addresses. The forward mark travels as a TLV of the range that the protocol leaves to applications.
struct ProxyHeader {
    Endpoint client;
    Endpoint service;
    std::optional<ForwardMark> forwardMark;

    bool operator==(const ProxyHeader&) const = default;
};

struct ProxiedPacket {
    ProxyHeader header;
    // Points into the datagram it was read from.
    std::span<const std::uint8_t> payload;
};

// The largest header that encodeProxyHeader writes, in bytes.
inline constexpr std::size_t maxProxyHeaderBytes = 64;

// Writes the header into the buffer and returns its size. The buffer holds maxProxyHeaderBytes bytes or more.
std::size_t encodeProxyHeader(const ProxyHeader&, std::span<std::uint8_t> buffer);

// Reads a datagram. Anything that is not a whole PROXY v2 DGRAM-over-IPv4 header gives InvalidArgument.
Result<ProxiedPacket> decodeProxiedPacket(std::span<const std::uint8_t> datagram);

}
