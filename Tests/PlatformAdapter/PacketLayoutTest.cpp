#include "platform/PacketLayout.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace wisteriadock::platform {

namespace {

    std::vector<std::uint8_t> packetOf(const TokenPacket& packet)
    {
        const PacketHeader head = encodeHeader(packet);
        std::vector<std::uint8_t> bytes(head.begin(), head.end());
        bytes.resize(packetHeaderBytes + packet.payloadBytes, 0x5A);
        return bytes;
    }

    TokenPacket example()
    {
        TokenPacket packet;
        packet.ends = { { 0x64400007, 40001 }, { 0xC6120001, 443 } };
        packet.token = 0x01020304;
        packet.sequence = 0x11223344;
        packet.acknowledgement = 0x55667788;
        packet.opens = true;
        packet.payloadBytes = 3;
        return packet;
    }

    TEST(PacketLayoutTest, HeaderLayout)
    {
        const std::vector<std::uint8_t> expected { 0x64, 0x40, 0x00, 0x07, 0x9C, 0x41, 0x01, 0xBB, 0xC6, 0x12, 0x00,
            0x01, 0, 0, 0, 0, 0x11, 0x22, 0x33, 0x44, 0x55, 0x66, 0x77, 0x88, 1, 2, 3, 4, 0x10, 0, 0, 0, 0, 3, 0x5A,
            0x5A, 0x5A };
        EXPECT_EQ(packetOf(example()), expected);
        const auto decoded = decodePacket(expected);
        ASSERT_TRUE(decoded.has_value());
        EXPECT_EQ(decoded->ends, example().ends);
        EXPECT_EQ(decoded->token, 0x01020304U);
        EXPECT_EQ(decoded->acknowledgement, 0x55667788U);
        EXPECT_TRUE(decoded->opens);
        EXPECT_FALSE(decoded->acknowledges || decoded->finishes || decoded->resets || decoded->wasBounced);
        EXPECT_EQ(decoded->payloadBytes, 3U);
    }

    TEST(PacketLayoutTest, WriteTokenChangesOnlyToken)
    {
        std::vector<std::uint8_t> bytes = packetOf(example());
        std::vector<std::uint8_t> expected = bytes;
        std::copy_n(std::vector<std::uint8_t> { 0xCA, 0xFE, 0xBA, 0xBE }.begin(), 4, expected.begin() + 24);
        writeToken(bytes, 0xCAFEBABE);
        EXPECT_EQ(bytes, expected);
    }

    TEST(PacketLayoutTest, ResetFromRouteToCaller)
    {
        const PacketHeader reset = encodeReset(example());
        const auto decoded = decodePacket(reset);
        ASSERT_TRUE(decoded.has_value());
        EXPECT_EQ(decoded->ends.caller, example().ends.route);
        EXPECT_EQ(decoded->ends.route, example().ends.caller);
        EXPECT_EQ(decoded->sequence, example().acknowledgement);
        EXPECT_TRUE(decoded->resets);
        EXPECT_EQ(decoded->payloadBytes, 0U);
    }

    TEST(PacketLayoutTest, ServerPrefix)
    {
        const std::array<std::uint8_t, 8> expected { 0, 0, 0, 0xF2, 0x1E, 0xE4, 0xFC, 0xC9 };
        EXPECT_EQ(serverPrefix(0xF21EE4FCC9), expected);
    }

    TEST(PacketLayoutTest, MalformedPacketsAreRefused)
    {
        const std::vector<std::uint8_t> good = packetOf(example());
        for (std::size_t size = 0; size < good.size(); ++size)
            EXPECT_FALSE(decodePacket(std::span(good.data(), size)).has_value()) << size;
        std::vector<std::uint8_t> longer = good;
        longer.push_back(0);
        EXPECT_FALSE(decodePacket(longer).has_value());
        for (const std::uint8_t unknown : { 4, 8, 64 }) {
            std::vector<std::uint8_t> flagged = good;
            flagged[28] |= unknown;
            EXPECT_FALSE(decodePacket(flagged).has_value()) << int(unknown);
        }
        TokenPacket huge = example();
        huge.payloadBytes = maxPayloadBytes + 1;
        EXPECT_FALSE(decodePacket(packetOf(huge)).has_value());
    }

    // Guards against accepting a packet whose length field exceeds the datagram.
    TEST(PacketLayoutTest, RandomBytesAreNotReadBeyondEnd)
    {
        std::mt19937 random(7);
        for (int round = 0; round < 20000; ++round) {
            std::vector<std::uint8_t> bytes = packetOf(example());
            bytes.resize(random() % 80);
            for (int change = 0; change < 4 && !bytes.empty(); ++change)
                bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
            const auto packet = decodePacket(bytes);
            EXPECT_TRUE(!packet || packet->payloadBytes + packetHeaderBytes == bytes.size());
        }
    }

}

}
