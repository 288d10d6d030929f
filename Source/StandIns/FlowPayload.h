#pragma once

#include "Core/Error.h"
#include "Core/Identifiers.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace wisteriadock {

// Whether a payload is sent to a backend server or returned by one.
enum class FlowPayloadKind : std::uint8_t {
    Packet = 1,
    Reply = 2,
};

// The result that a backend server reports for a packet.
enum class FlowStatus : std::uint8_t {
    Ok = 0,
    UnknownFlow = 1, // The server does not have the flow; the flow is broken as by a TCP RST.
    WrongService = 2, // The packet is for another service.
};

std::string_view nameOf(FlowStatus);

// The payload after the PROXY header in the packets of the stand-ins' flows and in the replies to them.
struct FlowPayload {
    FlowPayloadKind kind = FlowPayloadKind::Packet;
    // Set on the packet with sequence number 0 by protocols whose first packet is recognisable, as in TCP and QUIC.
    bool startMark = false;
    // The last packet of the flow.
    bool end = false;
    // Replies only.
    FlowStatus status = FlowStatus::Ok;
    std::uint64_t flow = 0;
    // 0 opens the flow. A reply has the number of the packet that it answers.
    std::uint32_t sequence = 0;
    // In packets: the service that the caller addresses. In replies: the service of the backend server.
    ServiceId service;
    // Replies only.
    BackendServerId backendServer;

    bool operator==(const FlowPayload&) const = default;
};

// In bytes.
inline constexpr std::size_t flowPayloadSize = 24;

using FlowPayloadBytes = std::array<std::uint8_t, flowPayloadSize>;

FlowPayloadBytes encodeFlowPayload(const FlowPayload&);

// Fails with InvalidArgument unless the bytes are exactly one valid payload.
Result<FlowPayload> decodeFlowPayload(std::span<const std::uint8_t>);

}
