#include "Wire/ProxyHeader.h"

#include <boost/endian/conversion.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string>

namespace wisteriadock {

namespace {

    using boost::endian::load_big_u16;
    using boost::endian::load_big_u32;
    using boost::endian::store_big_u16;
    using boost::endian::store_big_u32;

    constexpr std::array<std::uint8_t, 12> signature {
        0x0D,
        0x0A,
        0x0D,
        0x0A,
        0x00,
        0x0D,
        0x0A,
        0x51,
        0x55,
        0x49,
        0x54,
        0x0A,
    };
    constexpr std::uint8_t versionTwoCommandProxy = 0x21;
    constexpr std::uint8_t familyInetTransportDgram = 0x12;

    // Offsets of the fields, in bytes from the start of the datagram.
    constexpr std::size_t commandOffset = signature.size();
    constexpr std::size_t familyOffset = 13;
    constexpr std::size_t lengthOffset = 14;
    constexpr std::size_t addressesOffset = 16;
    constexpr std::size_t addressesSize = 12;
    constexpr std::size_t tlvOffset = addressesOffset + addressesSize;

    constexpr std::size_t tlvHeaderSize = 3;
    // The first type of the range reserved for applications (0xE0 to 0xEF).
    constexpr std::uint8_t forwardMarkType = 0xE0;
    constexpr std::size_t forwardMarkSize = 5;

    static_assert(tlvOffset + tlvHeaderSize + forwardMarkSize <= maxProxyHeaderBytes);

    Error malformed(std::string what) { return { ErrorCode::InvalidArgument, fmt::format("PROXY header: {}", what) }; }

    ForwardMark readForwardMark(std::span<const std::uint8_t> value)
    {
        return { .origin = { load_big_u32(value.data() + 1) }, .hops = value[0] };
    }

    // Skips TLVs of other types, as the protocol requires.
    Result<std::optional<ForwardMark>> readTlvs(std::span<const std::uint8_t> tlvs)
    {
        std::optional<ForwardMark> mark;
        while (!tlvs.empty()) {
            if (tlvs.size() < tlvHeaderSize)
                return malformed(fmt::format("{} bytes left where a TLV needs {}", tlvs.size(), tlvHeaderSize));
            const std::uint8_t type = tlvs[0];
            const std::size_t size = load_big_u16(tlvs.data() + 1);
            tlvs = tlvs.subspan(tlvHeaderSize);
            if (size > tlvs.size())
                return malformed(fmt::format("TLV {:#04x} of {} bytes where {} are left", type, size, tlvs.size()));

            if (type == forwardMarkType) {
                if (size != forwardMarkSize)
                    return malformed(fmt::format("forward mark of {} bytes; expected {}", size, forwardMarkSize));
                // A packet with two marks could bypass the hop limit by carrying an older hop count next to the newer.
                if (mark)
                    return malformed("two forward marks; expected one at most");
                mark = readForwardMark(tlvs.first(size));
            }
            tlvs = tlvs.subspan(size);
        }
        return mark;
    }

}

std::size_t encodeProxyHeader(const ProxyHeader& header, std::span<std::uint8_t> buffer)
{
    std::uint8_t* const data = buffer.data();
    std::copy(signature.begin(), signature.end(), data);
    data[commandOffset] = versionTwoCommandProxy;
    data[familyOffset] = familyInetTransportDgram;

    std::uint8_t* const addresses = data + addressesOffset;
    store_big_u32(addresses, header.client.address);
    store_big_u32(addresses + 4, header.service.address);
    store_big_u16(addresses + 8, header.client.port);
    store_big_u16(addresses + 10, header.service.port);

    std::size_t size = tlvOffset;
    if (header.forwardMark) {
        std::uint8_t* const tlv = data + size;
        tlv[0] = forwardMarkType;
        store_big_u16(tlv + 1, forwardMarkSize);
        tlv[tlvHeaderSize] = header.forwardMark->hops;
        store_big_u32(tlv + tlvHeaderSize + 1, header.forwardMark->origin.value);
        size += tlvHeaderSize + forwardMarkSize;
    }
    store_big_u16(data + lengthOffset, static_cast<std::uint16_t>(size - addressesOffset));
    return size;
}

Result<ProxiedPacket> decodeProxiedPacket(std::span<const std::uint8_t> datagram)
{
    if (datagram.size() < tlvOffset)
        return malformed(fmt::format("datagram of {} bytes; expected {} or more", datagram.size(), tlvOffset));
    if (!std::equal(signature.begin(), signature.end(), datagram.begin()))
        return malformed("no PROXY v2 signature");
    if (datagram[commandOffset] != versionTwoCommandProxy)
        return malformed(fmt::format(
            "version and command {:#04x}; expected {:#04x}", datagram[commandOffset], versionTwoCommandProxy));
    if (datagram[familyOffset] != familyInetTransportDgram)
        return malformed(fmt::format(
            "family and transport {:#04x}; expected {:#04x}", datagram[familyOffset], familyInetTransportDgram));

    const std::size_t length = load_big_u16(datagram.data() + lengthOffset);
    const std::size_t headerSize = addressesOffset + length;
    if (length < addressesSize || headerSize > datagram.size())
        return malformed(
            fmt::format("length {}; expected {} to {}", length, addressesSize, datagram.size() - addressesOffset));

    BOOST_OUTCOME_TRY(mark, readTlvs(datagram.subspan(tlvOffset, headerSize - tlvOffset)));
    const std::uint8_t* const addresses = datagram.data() + addressesOffset;
    return ProxiedPacket {
        .header = {
            .client = { load_big_u32(addresses), load_big_u16(addresses + 8) },
            .service = { load_big_u32(addresses + 4), load_big_u16(addresses + 10) },
            .forwardMark = mark,
        },
        .payload = datagram.subspan(headerSize),
    };
}

}
