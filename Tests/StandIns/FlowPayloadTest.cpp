#include "StandIns/FlowPayload.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace wisteriadock {
namespace {

    FlowPayload fullReply()
    {
        return {
            .kind = FlowPayloadKind::Reply,
            .startMark = true,
            .end = true,
            .status = FlowStatus::WrongService,
            .flow = 0x0102030405060708,
            .sequence = 0xA0B0C0D0,
            .service = { 17 },
            .backendServer = { 0xFFFFFFFF },
        };
    }

    TEST(FlowPayloadTest, EncodedPayloadsAreDecoded)
    {
        for (const FlowPayload& payload : { fullReply(), FlowPayload {} }) {
            const auto read = decodeFlowPayload(encodeFlowPayload(payload));
            ASSERT_TRUE(read);
            EXPECT_EQ(read.value(), payload);
        }
    }

    TEST(FlowPayloadTest, OtherSizesAreRejected)
    {
        std::vector<std::uint8_t> bytes(64);
        const FlowPayloadBytes whole = encodeFlowPayload(fullReply());
        std::copy(whole.begin(), whole.end(), bytes.begin());
        for (std::size_t size = 0; size <= bytes.size(); ++size) {
            SCOPED_TRACE(size);
            EXPECT_EQ(bool(decodeFlowPayload(std::span(bytes).first(size))), size == flowPayloadSize);
        }
    }

    TEST(FlowPayloadTest, RandomBytesThatDecodeEncodeToTheSameBytes)
    {
        std::mt19937 random(20240301);
        for (int round = 0; round < 100'000; ++round) {
            FlowPayloadBytes bytes;
            for (std::uint8_t& byte : bytes)
                byte = static_cast<std::uint8_t>(random());
            bytes[0] = 1;
            bytes[1] %= 4;
            bytes[2] %= 8;
            bytes[3] %= 4;
            const auto read = decodeFlowPayload(bytes);
            if (!read)
                continue;
            ASSERT_EQ(encodeFlowPayload(read.value()), bytes);
        }
    }

}
}
