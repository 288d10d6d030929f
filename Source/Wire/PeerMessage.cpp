#include "Wire/PeerMessage.h"

#include "Core/NameTable.h"
#include "Wire/PeerMessageCodec.h"

namespace wisteriadock {

namespace {

    constexpr auto peerMessageKindNames = makeNameTable<PeerMessageKind>({
        { PeerMessageKind::Heartbeat, "heartbeat" },
        { PeerMessageKind::ProbeRequest, "probe_request" },
        { PeerMessageKind::ProbeResult, "probe_result" },
        { PeerMessageKind::MembersRequest, "members_request" },
        { PeerMessageKind::MembersPage, "members_page" },
        { PeerMessageKind::Configuration, "configuration" },
        { PeerMessageKind::FlowControl, "flow_control" },
        { PeerMessageKind::Request, "request" },
        { PeerMessageKind::ReplicaSync, "news" },
        { PeerMessageKind::CompressedReplicaSync, "compressed_news" },
        { PeerMessageKind::RelayedReplicaSync, "relayed_news" },
        { PeerMessageKind::RevisionRequest, "revision_request" },
        { PeerMessageKind::WatcherHeartbeat, "watcher_heartbeat" },
        { PeerMessageKind::LoadReport, "load_report" },
        { PeerMessageKind::LoadDigest, "load_digest" },
    });

    bool isKnown(PeerMessageKind kind)
    {
        for (const auto& row : peerMessageKindNames.rows()) {
            if (row.first == kind)
                return true;
        }
        return false;
    }

    // The wire format of the envelope.
    struct WireEnvelope {
        std::uint8_t version = 0;
        std::uint32_t sender = 0;
        std::uint64_t senderIncarnation = 0;
        std::uint8_t kind = 0;
        std::vector<std::uint8_t> payload;

        MSGPACK_DEFINE_ARRAY(version, sender, senderIncarnation, kind, payload);
    };

}

std::string_view nameOf(PeerMessageKind kind) { return peerMessageKindNames.name(kind); }

Result<std::vector<std::uint8_t>> encodePeerEnvelope(const PeerEnvelope& envelope)
{
    if (envelope.payload.size() > maxPeerPayloadBytes) {
        return Error { ErrorCode::ResourceExhausted,
            "payload of " + std::to_string(envelope.payload.size()) + " bytes, at most "
                + std::to_string(maxPeerPayloadBytes) + " fit" };
    }
    return encodeMessage(WireEnvelope { peerProtocolVersion, envelope.sender.value, envelope.senderIncarnation,
        static_cast<std::uint8_t>(envelope.kind), envelope.payload });
}

Result<PeerEnvelope> decodePeerEnvelope(std::span<const std::uint8_t> datagram)
{
    BOOST_OUTCOME_TRY(wire, decodeMessage<WireEnvelope>(datagram));
    if (wire.version != peerProtocolVersion) {
        return Error { ErrorCode::InvalidArgument,
            "peer protocol version " + std::to_string(wire.version) + ", expected "
                + std::to_string(peerProtocolVersion) };
    }
    const auto kind = static_cast<PeerMessageKind>(wire.kind);
    if (!isKnown(kind))
        return Error { ErrorCode::InvalidArgument, "peer message kind " + std::to_string(wire.kind) };
    return PeerEnvelope { BalancerId { wire.sender }, wire.senderIncarnation, kind, std::move(wire.payload) };
}

}
