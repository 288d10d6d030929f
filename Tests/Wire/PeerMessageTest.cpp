#include "Wire/PeerMessage.h"
#include "Wire/PeerMessageCodec.h"

#include <gtest/gtest.h>

#include <limits>
#include <random>

namespace wisteriadock {
namespace {

    struct Note {
        std::uint32_t number = 0;
        std::string text;
        std::vector<std::uint64_t> rows;

        MSGPACK_DEFINE_ARRAY(number, text, rows);
    };

    PeerEnvelope sampleEnvelope()
    {
        return { balancerIdOf("walu-1"), std::numeric_limits<std::uint64_t>::max(), PeerMessageKind::Heartbeat,
            encodeMessage(Note { 7, "hello", { 1, 2, 3 } }) };
    }

    TEST(PeerMessageTest, RoundTrip)
    {
        const auto datagram = encodePeerEnvelope(sampleEnvelope());
        ASSERT_TRUE(datagram);
        const auto envelope = decodePeerEnvelope(datagram.value());
        ASSERT_TRUE(envelope);
        EXPECT_EQ(envelope.value(), sampleEnvelope());
        const auto note = decodeMessage<Note>(envelope.value().payload);
        ASSERT_TRUE(note);
        EXPECT_EQ(note.value().text, "hello");
        EXPECT_EQ(note.value().rows.size(), 3U);
    }

    TEST(PeerMessageTest, DatagramSizeLimit)
    {
        PeerEnvelope envelope = sampleEnvelope();
        envelope.payload.assign(maxPeerPayloadBytes, 0xAB);
        const auto largest = encodePeerEnvelope(envelope);
        ASSERT_TRUE(largest);
        EXPECT_LE(largest.value().size(), maxPeerDatagramBytes);
        EXPECT_TRUE(decodePeerEnvelope(largest.value()));

        envelope.payload.push_back(0xAB);
        ASSERT_FALSE(encodePeerEnvelope(envelope));
        EXPECT_EQ(encodePeerEnvelope(envelope).error().code, ErrorCode::ResourceExhausted);
        EXPECT_FALSE(decodePeerEnvelope(std::vector<std::uint8_t>(maxPeerDatagramBytes + 1, 0)));
    }

    TEST(PeerMessageTest, UnknownVersionsAndKindsAreRefused)
    {
        auto datagram = encodePeerEnvelope(sampleEnvelope()).value();
        datagram[1] = peerProtocolVersion + 1;
        EXPECT_FALSE(decodePeerEnvelope(datagram));

        PeerEnvelope envelope = sampleEnvelope();
        envelope.kind = static_cast<PeerMessageKind>(99);
        EXPECT_FALSE(decodePeerEnvelope(encodePeerEnvelope(envelope).value()));
    }

    // Guards against exceptions and huge allocations on damaged datagrams.
    TEST(PeerMessageTest, DamagedDatagrams)
    {
        const auto whole = encodePeerEnvelope(sampleEnvelope()).value();
        std::mt19937 random(20261202);
        SCOPED_TRACE("truncated datagrams");
        for (std::size_t size = 0; size < whole.size(); ++size)
            EXPECT_FALSE(decodePeerEnvelope(std::span(whole).first(size)));
        SCOPED_TRACE("one byte changed");
        for (int i = 0; i < 20000; ++i) {
            auto damaged = whole;
            damaged[random() % damaged.size()] = static_cast<std::uint8_t>(random());
            const auto envelope = decodePeerEnvelope(damaged);
            if (envelope)
                (void)decodeMessage<Note>(envelope.value().payload);
        }
        SCOPED_TRACE("random bytes");
        for (int i = 0; i < 20000; ++i) {
            std::vector<std::uint8_t> noise(random() % 200);
            for (auto& byte : noise)
                byte = static_cast<std::uint8_t>(random());
            (void)decodePeerEnvelope(noise);
            (void)decodeMessage<Note>(noise);
        }
        SCOPED_TRACE("declared sizes and nesting beyond the limits");
        const std::vector<std::uint8_t> hugeArray { 0xDD, 0xFF, 0xFF, 0xFF, 0xFF };
        const std::vector<std::uint8_t> hugeText { 0x93, 0x01, 0xDB, 0xFF, 0xFF, 0xFF, 0xFF };
        const std::vector<std::uint8_t> deep(1000, 0x91);
        for (const auto& claim : { hugeArray, hugeText, deep })
            EXPECT_FALSE(decodeMessage<Note>(claim));
    }

}
}
