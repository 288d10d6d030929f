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

// Added by a balancer that forwards a flow packet to another balancer, to prevent forwarding loops.
struct ForwardMark {
    BalancerId origin;
    // How many balancers have forwarded the packet so far.
    std::uint8_t hops = 0;

    bool operator==(const ForwardMark&) const = default;
};

// The PROXY protocol version 2 header (DGRAM over IPv4) that precedes each flow packet and carries its original
// addresses. The forward mark is a TLV of a type that the protocol reserves for applications.
struct ProxyHeader {
    Endpoint client;
    Endpoint service;
    std::optional<ForwardMark> forwardMark;

    bool operator==(const ProxyHeader&) const = default;
};

struct ProxiedPacket {
    ProxyHeader header;
    // Points into the decoded datagram.
    std::span<const std::uint8_t> payload;
};

// The maximum size of the header that encodeProxyHeader writes, in bytes.
inline constexpr std::size_t maxProxyHeaderBytes = 64;

// Writes the header into the buffer and returns its size in bytes. The buffer must hold maxProxyHeaderBytes.
std::size_t encodeProxyHeader(const ProxyHeader&, std::span<std::uint8_t> buffer);

// Decodes a datagram. Fails with InvalidArgument unless it begins with a complete PROXY v2 header for DGRAM over IPv4.
Result<ProxiedPacket> decodeProxiedPacket(std::span<const std::uint8_t> datagram);

}
