#pragma once

#include "Core/Error.h"
#include "Core/Identifiers.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The version of the envelope. A balancer drops datagrams of versions it does not know.
inline constexpr std::uint8_t peerProtocolVersion = 1;

// The largest datagram between balancers, in bytes; it fits an Ethernet frame with room for tunnels.
inline constexpr std::size_t maxPeerDatagramBytes = 1200;

// The most bytes that an envelope adds to its payload.
inline constexpr std::size_t maxPeerEnvelopeOverhead = 24;

// The largest payload of one datagram, in bytes.
inline constexpr std::size_t maxPeerPayloadBytes = maxPeerDatagramBytes - maxPeerEnvelopeOverhead;

// What a datagram between balancers is about, which says who decodes its payload. The numbers are on the wire.
enum class PeerMessageKind : std::uint8_t {
    Heartbeat = 1, // Membership: a sign of life, with news of members.
    ProbeRequest = 2, // Membership: probe a third balancer for the sender.
    ProbeResult = 3, // Membership: that balancer answered.
    MembersRequest = 4, // Membership: send rows of members.
    MembersPage = 5, // Membership: rows of members.
    Configuration = 6,
    FlowControl = 7,
    Request = 8,
    ReplicaSync = 9, // What the platform's store holds, from a balancer that watches it.
};

// One more than the highest kind.
inline constexpr std::size_t peerMessageKinds = 10;

std::string_view nameOf(PeerMessageKind);

// What every datagram between balancers carries around its payload.
struct PeerEnvelope {
    BalancerId sender;
    // Receivers drop messages of an incarnation older than the one they know.
    std::uint64_t senderIncarnation = 0;
    PeerMessageKind kind = PeerMessageKind::Heartbeat;
    // A message of that kind, as encodeMessage writes it.
    std::vector<std::uint8_t> payload;

    bool operator==(const PeerEnvelope&) const = default;
};

// Writes one datagram. Fails with ResourceExhausted when the payload is larger than maxPeerPayloadBytes.
Result<std::vector<std::uint8_t>> encodePeerEnvelope(const PeerEnvelope&);

// Reads one datagram. Anything but one whole envelope of a known version and kind gives InvalidArgument.
Result<PeerEnvelope> decodePeerEnvelope(std::span<const std::uint8_t> datagram);

}
