#include "Soak/SoakPacket.h"

#include "Core/Hash.h"
#include "platform/PacketLayout.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    std::uint32_t checksumOf(std::span<const std::uint8_t> datagram)
    {
        const std::vector<std::uint8_t> covered = platform::checksummedBytes(datagram);
        const auto checksum = static_cast<std::uint32_t>(hashBytes(covered.data(), covered.size(), soakChecksumKey));
        return checksum == 0 ? 1 : checksum;
    }

}

std::vector<std::uint8_t> encodeWithChecksum(const TokenPacket& packet, std::span<const std::uint8_t> payload)
{
    TokenPacket head = packet;
    head.payloadBytes = static_cast<std::uint16_t>(payload.size());
    const platform::PacketHeader bytes = platform::encodeHeader(head);
    std::vector<std::uint8_t> datagram(bytes.size() + payload.size());
    std::copy(bytes.begin(), bytes.end(), datagram.begin());
    std::copy(payload.begin(), payload.end(), datagram.begin() + platform::packetHeaderBytes);
    platform::writeChecksum(datagram, checksumOf(datagram));
    return datagram;
}

bool hasValidChecksum(std::span<const std::uint8_t> datagram)
{
    return platform::readChecksum(datagram) == checksumOf(datagram);
}

bool hasNoChecksum(std::span<const std::uint8_t> datagram) { return platform::readChecksum(datagram) == 0; }

}
