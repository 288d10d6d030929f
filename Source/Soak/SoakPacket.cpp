#include "Soak/SoakPacket.h"

#include "Core/Hash.h"
#include "platform/PacketLayout.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    std::uint32_t sumOf(std::span<const std::uint8_t> datagram)
    {
        const std::vector<std::uint8_t> covered = platform::checksummedBytes(datagram);
        const auto sum = static_cast<std::uint32_t>(hashBytes(covered.data(), covered.size(), soakKey));
        return sum == 0 ? 1 : sum;
    }

}

std::vector<std::uint8_t> sealPacket(const TokenPacket& packet, std::span<const std::uint8_t> payload)
{
    TokenPacket head = packet;
    head.payloadBytes = static_cast<std::uint16_t>(payload.size());
    const platform::PacketHeader bytes = platform::encodeHeader(head);
    std::vector<std::uint8_t> datagram(bytes.size() + payload.size());
    std::copy(bytes.begin(), bytes.end(), datagram.begin());
    std::copy(payload.begin(), payload.end(), datagram.begin() + platform::packetHeaderBytes);
    platform::writeChecksum(datagram, sumOf(datagram));
    return datagram;
}

bool isSealed(std::span<const std::uint8_t> datagram) { return platform::readChecksum(datagram) == sumOf(datagram); }

bool hasNoSum(std::span<const std::uint8_t> datagram) { return platform::readChecksum(datagram) == 0; }

}
