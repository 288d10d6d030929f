#pragma once

#include "Core/Error.h"
#include "Core/Identifiers.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace wisteriadock {

// Whether a payload goes to a backend server or comes back from one.
enum class FlowPayloadKind : std::uint8_t {
    Packet = 1,
    Reply = 2,
};

// What a backend server says about a packet.
enum class FlowStatus : std::uint8_t {
    Ok = 0,
    UnknownFlow = 1, // The server does not hold the flow, which breaks it as a TCP RST would.
    WrongService = 2, // The packet was meant for another service.
};

std::string_view nameOf(FlowStatus);

// What stands after the PROXY header in the packets of the stand-ins' flows and in the replies to them.
struct FlowPayload {
    FlowPayloadKind kind = FlowPayloadKind::Packet;
    // A format that shows its first packets, as TCP and QUIC do, sets this on sequence number 0.
    bool startMark = false;
    // The last packet of the flow.
    bool end = false;
    // Replies only.
    FlowStatus status = FlowStatus::Ok;
    std::uint64_t flow = 0;
    // 0 opens the flow; a reply repeats the number of its packet.
    std::uint32_t sequence = 0;
    // The service that the caller meant.
    ServiceId service;
    // Replies only.
    BackendServerId backendServer;

    bool operator==(const FlowPayload&) const = default;
};

inline constexpr std::size_t flowPayloadSize = 24;

using FlowPayloadBytes = std::array<std::uint8_t, flowPayloadSize>;

FlowPayloadBytes encodeFlowPayload(const FlowPayload&);

// Anything that is not exactly one payload gives InvalidArgument.
Result<FlowPayload> decodeFlowPayload(std::span<const std::uint8_t>);

}
