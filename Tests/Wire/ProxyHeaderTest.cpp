#include "Wire/ProxyHeader.h"

#include <gtest/gtest.h>

#include <random>

namespace wisteriadock {
namespace {

    using Bytes = std::vector<std::uint8_t>;

    constexpr std::size_t plainHeaderSize = 28;

    class ProxyHeaderTest : public testing::Test {
    protected:
        static Bytes datagramOf(const ProxyHeader& header, const Bytes& payload)
        {
            Bytes datagram(maxProxyHeaderBytes);
            datagram.resize(encodeProxyHeader(header, datagram));
            datagram.insert(datagram.end(), payload.begin(), payload.end());
            return datagram;
        }

        static void expectRefused(const Bytes& datagram)
        {
            const auto packet = decodeProxiedPacket(datagram);
            ASSERT_FALSE(packet);
            EXPECT_EQ(packet.error().code, ErrorCode::InvalidArgument);
        }

        // A header without a forward mark, followed by the given TLV bytes.
        Bytes datagramWithTlvs(const Bytes& tlvs) const
        {
            Bytes datagram = datagramOf(plain_, tlvs);
            datagram[15] = static_cast<std::uint8_t>(12 + tlvs.size());
            return datagram;
        }

        const ProxyHeader plain_ { { 0x0A010203, 40000 }, { 0xC0000201, 443 }, std::nullopt };
        const ProxyHeader marked_ { plain_.client, plain_.service, ForwardMark { { 0xDEADBEEF }, 1 } };
        const Bytes payload_ { 1, 2, 3 };
    };

    TEST_F(ProxyHeaderTest, RoundTrip)
    {
        for (const ProxyHeader& header : { plain_, marked_ }) {
            SCOPED_TRACE(header.forwardMark ? "with a forward mark" : "without a forward mark");
            for (const Bytes& body : { payload_, Bytes {} }) {
                SCOPED_TRACE(body.size());
                const Bytes datagram = datagramOf(header, body);
                const auto packet = decodeProxiedPacket(datagram);
                ASSERT_TRUE(packet);
                EXPECT_EQ(packet.value().header, header);
                EXPECT_EQ(Bytes(packet.value().payload.begin(), packet.value().payload.end()), body);
            }
        }
    }

    TEST_F(ProxyHeaderTest, WireFormat)
    {
        const Bytes expected { 0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A, // signature
            0x21, 0x12, 0, 20, // version 2 PROXY, IPv4 DGRAM, length
            10, 1, 2, 3, 192, 0, 2, 1, 0x9C, 0x40, 0x01, 0xBB, // addresses and ports
            0xE0, 0, 5, 1, 0xDE, 0xAD, 0xBE, 0xEF }; // forward mark
        EXPECT_EQ(datagramOf(marked_, {}), expected);
    }

    TEST_F(ProxyHeaderTest, OtherTlvTypesAreSkipped)
    {
        const Bytes datagram = datagramWithTlvs({ 0x04, 0, 2, 9, 9, 0xE0, 0, 5, 1, 0, 0, 0, 7, 0xE1, 0, 0 });
        const auto packet = decodeProxiedPacket(datagram);
        ASSERT_TRUE(packet);
        EXPECT_EQ(packet.value().header.forwardMark, (ForwardMark { { 7 }, 1 }));
        EXPECT_TRUE(packet.value().payload.empty());
    }

    TEST_F(ProxyHeaderTest, TruncatedHeadersAreRefused)
    {
        const Bytes whole = datagramOf(marked_, {});
        for (std::size_t size = 0; size < whole.size(); ++size) {
            SCOPED_TRACE(size);
            expectRefused(Bytes(whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(size)));
        }
    }

    TEST_F(ProxyHeaderTest, WrongFixedBytesAreRefused)
    {
        for (std::size_t place = 0; place < 14; ++place) {
            SCOPED_TRACE(place);
            for (unsigned flip = 1; flip < 256; ++flip) {
                Bytes datagram = datagramOf(plain_, payload_);
                datagram[place] ^= static_cast<std::uint8_t>(flip);
                expectRefused(datagram);
            }
        }
    }

    TEST_F(ProxyHeaderTest, WrongLengthsAreRefused)
    {
        const Bytes whole = datagramOf(plain_, payload_);
        for (const unsigned length : { 0U, 11U, 16U, 255U, 256U, 65535U }) {
            SCOPED_TRACE(length);
            Bytes datagram = whole;
            datagram[14] = static_cast<std::uint8_t>(length >> 8);
            datagram[15] = static_cast<std::uint8_t>(length);
            expectRefused(datagram);
        }
    }

    TEST_F(ProxyHeaderTest, MalformedTlvsAreRefused)
    {
        const Bytes mark { 0xE0, 0, 5, 1, 0, 0, 0, 7 };
        Bytes twoMarks = mark;
        twoMarks.insert(twoMarks.end(), mark.begin(), mark.end());
        const std::vector<Bytes> cases {
            { 0xE0 },
            { 0xE0, 0 },
            { 0xE0, 0, 5, 1, 0, 0, 0 },
            { 0xE0, 0, 4, 1, 0, 0, 0 },
            { 0xE0, 0, 6, 1, 0, 0, 0, 7, 7 },
            { 0x04, 0xFF, 0xFF },
            twoMarks,
        };
        for (const Bytes& tlvs : cases) {
            SCOPED_TRACE(testing::PrintToString(tlvs));
            expectRefused(datagramWithTlvs(tlvs));
        }
    }

    TEST_F(ProxyHeaderTest, RandomBytes)
    {
        std::mt19937 random(20240229);
        std::uniform_int_distribution<unsigned> byte(0, 255);
        for (int round = 0; round < 100'000; ++round) {
            Bytes datagram(random() % 80);
            for (std::uint8_t& value : datagram)
                value = static_cast<std::uint8_t>(byte(random));
            // Half of the datagrams start with a valid header, to reach the checks of lengths and TLVs.
            if (round % 2 == 0 && datagram.size() >= 16) {
                const Bytes start = datagramOf(plain_, {});
                std::copy(start.begin(), start.begin() + 14, datagram.begin());
                datagram[14] = 0;
                datagram[15] %= 80;
            }
            const auto packet = decodeProxiedPacket(datagram);
            if (!packet)
                continue;
            ASSERT_GE(datagram.size(), plainHeaderSize);
            ASSERT_GE(packet.value().payload.data(), datagram.data() + plainHeaderSize);
            ASSERT_EQ(packet.value().payload.data() + packet.value().payload.size(), datagram.data() + datagram.size());
        }
    }

}
}
