#include "StandIns/FlowPayload.h"

#include "Core/NameTable.h"

#include <boost/endian/conversion.hpp>
#include <fmt/format.h>

namespace wisteriadock {

namespace {

    using boost::endian::load_big_u32;
    using boost::endian::load_big_u64;
    using boost::endian::store_big_u32;
    using boost::endian::store_big_u64;

    // Offsets of the fields in bytes.
    constexpr std::size_t versionOffset = 0;
    constexpr std::size_t kindOffset = 1;
    constexpr std::size_t flagsOffset = 2;
    constexpr std::size_t statusOffset = 3;
    constexpr std::size_t flowOffset = 4;
    constexpr std::size_t sequenceOffset = 12;
    constexpr std::size_t serviceOffset = 16;
    constexpr std::size_t backendServerOffset = 20;

    constexpr std::uint8_t currentVersion = 1;
    constexpr std::uint8_t startMarkFlag = 1;
    constexpr std::uint8_t endFlag = 2;

    constexpr auto statusNames = makeNameTable<FlowStatus>({
        { FlowStatus::Ok, "ok" },
        { FlowStatus::UnknownFlow, "unknown_flow" },
        { FlowStatus::WrongService, "wrong_service" },
    });

    Error malformed(std::string_view field, unsigned value)
    {
        return { ErrorCode::InvalidArgument, fmt::format("flow payload: {} is {}", field, value) };
    }

}

std::string_view nameOf(FlowStatus status) { return statusNames.name(status); }

FlowPayloadBytes encodeFlowPayload(const FlowPayload& payload)
{
    FlowPayloadBytes bytes;
    bytes[versionOffset] = currentVersion;
    bytes[kindOffset] = static_cast<std::uint8_t>(payload.kind);
    bytes[flagsOffset]
        = static_cast<std::uint8_t>((payload.startMark ? startMarkFlag : 0) | (payload.end ? endFlag : 0));
    bytes[statusOffset] = static_cast<std::uint8_t>(payload.status);
    store_big_u64(bytes.data() + flowOffset, payload.flow);
    store_big_u32(bytes.data() + sequenceOffset, payload.sequence);
    store_big_u32(bytes.data() + serviceOffset, payload.service.value);
    store_big_u32(bytes.data() + backendServerOffset, payload.backendServer.value);
    return bytes;
}

Result<FlowPayload> decodeFlowPayload(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() != flowPayloadSize)
        return malformed("size", static_cast<unsigned>(bytes.size()));
    if (bytes[versionOffset] != currentVersion)
        return malformed("version", bytes[versionOffset]);

    const auto kind = static_cast<FlowPayloadKind>(bytes[kindOffset]);
    if (kind != FlowPayloadKind::Packet && kind != FlowPayloadKind::Reply)
        return malformed("kind", bytes[kindOffset]);
    const unsigned flags = bytes[flagsOffset];
    if ((flags & ~unsigned(startMarkFlag | endFlag)) != 0)
        return malformed("flags", flags);
    if (bytes[statusOffset] >= statusNames.rows().size())
        return malformed("status", bytes[statusOffset]);

    return FlowPayload {
        .kind = kind,
        .startMark = (flags & startMarkFlag) != 0,
        .end = (flags & endFlag) != 0,
        .status = static_cast<FlowStatus>(bytes[statusOffset]),
        .flow = load_big_u64(bytes.data() + flowOffset),
        .sequence = load_big_u32(bytes.data() + sequenceOffset),
        .service = { load_big_u32(bytes.data() + serviceOffset) },
        .backendServer = { load_big_u32(bytes.data() + backendServerOffset) },
    };
}

}
