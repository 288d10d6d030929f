#include "Balancer/RequestMessageCodec.h"

#include "Balancer/ClaimTermText.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    const BalancerInstance first { BalancerId { 7 }, 1'700'000'000'001 };
    const BalancerInstance second { BalancerId { 4'000'000'000 }, 2 };

    ClaimTerm exampleTerm() { return { "walu", 9, { first, second }, { { 8, { second } }, { 7, {} } }, false }; }

    BucketSnapshot exampleSnapshot()
    {
        BucketSnapshot snapshot { .epoch = 9, .bucket = 255, .installedEpoch = 8, .contents = {} };
        ClaimRecord record;
        record.fingerprint = 0xffff'ffff'ffff'fffe;
        record.runner = first;
        record.state = ClaimState::Answered;
        record.answer = std::make_shared<const HttpResponse>(
            HttpResponse { .status = 201, .headers = { { "location", "/9" } }, .body = std::string("\0b", 2) });
        snapshot.contents.claims = { { { 1, 2 }, record, -3s } };
        snapshot.contents.expiredEpoch = 4;
        snapshot.contents.lost = LostClaims { 6, { { 5, first, second }, { 4, second, std::nullopt } }, true, 70s };
        return snapshot;
    }

    TEST(RequestMessageCodecTest, DecodesWhatItEncoded)
    {
        {
            SCOPED_TRACE("a snapshot with all its parts");
            const auto read = decodeRequestMessage(encodeRequestMessage({ 5, RequestMessage(exampleSnapshot()) }));
            ASSERT_TRUE(read);
            EXPECT_EQ(read.value().receiverIncarnation, 5U);
            const auto snapshot = std::get<BucketSnapshot>(std::get<RequestMessage>(read.value().message));
            EXPECT_EQ(snapshot.bucket, 255U);
            EXPECT_EQ(snapshot.contents.lost, exampleSnapshot().contents.lost);
            const ClaimCopy& copy = snapshot.contents.claims.at(0);
            EXPECT_EQ(copy.digest, (KeyDigest { 1, 2 }));
            EXPECT_EQ(copy.age, Duration(-3s));
            EXPECT_EQ(copy.record.fingerprint, 0xffff'ffff'ffff'fffeU);
            EXPECT_EQ(copy.record.state, ClaimState::Answered);
            EXPECT_EQ(copy.record.answer->body, std::string("\0b", 2));
        }
        {
            SCOPED_TRACE("an ownership record, also in the platform's JSON format");
            const auto read
                = decodeRequestMessage(encodeRequestMessage({ 5, RequestMessage(TermUpdate { exampleTerm() }) }));
            EXPECT_EQ(std::get<TermUpdate>(std::get<RequestMessage>(read.value().message)).term, exampleTerm());
            EXPECT_EQ(readClaimTerm(writeClaimTerm(exampleTerm())).value(), exampleTerm());
            EXPECT_FALSE(readClaimTerm(R"({"epoch":1})"));
        }
        {
            SCOPED_TRACE("an acknowledgement and a digest");
            const AttemptReceived received { { first, 3 } };
            EXPECT_EQ(
                std::get<AttemptReceived>(decodeRequestMessage(encodeRequestMessage({ 5, received })).value().message),
                received);
            const TermDigest digest { { { "walu", 9 }, { "nabua", 2 } } };
            EXPECT_EQ(std::get<TermDigest>(decodeRequestMessage(encodeRequestMessage({ 5, digest })).value().message),
                digest);
        }
    }

    // Guards against truncated or extended messages, and against counts that exhaust memory.
    TEST(RequestMessageCodecTest, RejectsAnythingButOneCompleteMessage)
    {
        std::vector<std::uint8_t> bytes = encodeRequestMessage({ 5, RequestMessage(exampleSnapshot()) });
        for (std::size_t size = 0; size < bytes.size(); ++size)
            EXPECT_FALSE(decodeRequestMessage(std::span(bytes).first(size))) << size;
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            std::vector<std::uint8_t> spoiled = bytes;
            spoiled[i] = 0xff;
            // The bytes may still be a message, but decoding them must end.
            (void)decodeRequestMessage(spoiled);
        }
        bytes.push_back(0);
        EXPECT_FALSE(decodeRequestMessage(bytes));
        EXPECT_FALSE(decodeRequestMessage(std::vector<std::uint8_t> { 2, 0, 0, 0, 0, 0, 0, 0, 0, 0 }));
        EXPECT_FALSE(decodeRequestMessage(std::vector<std::uint8_t> { 1, 99, 0, 0, 0, 0, 0, 0, 0, 0 }));
    }

}

}
