#pragma once

#include "Core/Error.h"
#include "Core/Identifiers.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The version of the envelope. A balancer drops datagrams of any other version.
inline constexpr std::uint8_t peerProtocolVersion = 1;

// The largest datagram between balancers, in bytes. Fits an Ethernet frame with room for tunnel headers.
inline constexpr std::size_t maxPeerDatagramBytes = 1200;

// The maximum number of bytes that an envelope adds to its payload.
inline constexpr std::size_t maxPeerEnvelopeOverhead = 24;

// The largest payload of one datagram, in bytes.
inline constexpr std::size_t maxPeerPayloadBytes = maxPeerDatagramBytes - maxPeerEnvelopeOverhead;

// The kind of a datagram between balancers, which determines who decodes its payload. The numbers are on the wire.
enum class PeerMessageKind : std::uint8_t {
    Heartbeat = 1, // Membership: a heartbeat with gossip.
    ProbeRequest = 2, // Membership: asks the receiver to probe a third balancer.
    ProbeResult = 3, // Membership: the probed balancer has answered.
    MembersRequest = 4, // Membership: asks for rows of members.
    MembersPage = 5, // Membership: rows of members.
    Configuration = 6,
    FlowControl = 7,
    Request = 8,
    ReplicaSync = 9, // Contents of the platform's store, which balancers pass on to each other.
    CompressedReplicaSync = 10, // The same, compressed. Balancers of earlier versions drop it and fetch the contents.
    RelayedReplicaSync = 11, // The same, to be passed on by the receiver. Earlier versions drop it, too.
    // Asks the receiver to tell its revision of those contents once it has any. With a payload (StalenessRequest) the
    // answer is a WatcherHeartbeat; balancers of earlier versions ignore the payload.
    RevisionRequest = 12,
    WatcherHeartbeat = 13, // How old the sender's contents are. Balancers of earlier versions drop it.
    LoadReport = 14, // What one balancer sees of the load, for the aggregator of its zone. Earlier versions drop it.
    // The load by the callers of whole zones; may be passed on by the receiver. Earlier versions drop it.
    LoadDigest = 15,
};

// One more than the highest kind; the size of arrays indexed by kind.
inline constexpr std::size_t peerMessageKinds = 16;

std::string_view nameOf(PeerMessageKind);

// The header and payload of a datagram between balancers.
struct PeerEnvelope {
    BalancerId sender;
    // Identifies the start of the sender's process. Receivers drop messages of an incarnation older than the newest one
    // that they know.
    std::uint64_t senderIncarnation = 0;
    PeerMessageKind kind = PeerMessageKind::Heartbeat;
    // The output of encodeMessage for a message of this kind.
    std::vector<std::uint8_t> payload;

    bool operator==(const PeerEnvelope&) const = default;
};

// Encodes one datagram. Fails with ResourceExhausted if the payload is larger than maxPeerPayloadBytes.
Result<std::vector<std::uint8_t>> encodePeerEnvelope(const PeerEnvelope&);

// Decodes one datagram. Fails with InvalidArgument unless it is one complete envelope of a known version and kind.
Result<PeerEnvelope> decodePeerEnvelope(std::span<const std::uint8_t> datagram);

}
