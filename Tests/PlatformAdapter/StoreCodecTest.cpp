#include "platform/StoreCodec.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <random>

namespace wisteriadock::platform {

namespace {

    HttpOutcome answer(int status, std::string body)
    {
        HttpResponse response;
        response.status = status;
        response.body = std::move(body);
        return response;
    }

    TEST(StoreCodecTest, CallRoundTrip)
    {
        const auto list = StoreCodec::encode(ListCall { "a b/ü", "k&1", true });
        EXPECT_EQ(list.value().method, "GET");
        EXPECT_EQ(list.value().path, "/kv-range?prefix=a%20b/%C3%BC&after=k%261&allowStale=1");
        const auto readList = listCallOf(list.value());
        ASSERT_TRUE(readList.has_value());
        EXPECT_EQ(readList->prefix, "a b/ü");
        EXPECT_EQ(readList->after, "k&1");
        EXPECT_TRUE(readList->mayBeStale);

        const auto watch = StoreCodec::encode(ChangesCall { "", 411, std::chrono::milliseconds(2500) });
        EXPECT_EQ(watch.value().path, "/kv-watch?prefix=&after=411&waitMs=2500");
        const auto readWatch = changesCallOf(watch.value());
        ASSERT_TRUE(readWatch.has_value());
        EXPECT_EQ(readWatch->revision, 411U);
        EXPECT_EQ(readWatch->wait, std::chrono::milliseconds(2500));
        EXPECT_FALSE(listCallOf(watch.value()).has_value());
    }

    TEST(StoreCodecTest, AnswerRoundTrip)
    {
        const PlatformPage page { { { "k", std::string("v\0\xFF", 3), 5, false } }, true, 9 };
        const auto readPage = StoreCodec::decode(ListCall {}, answer(200, encodePage(page)));
        ASSERT_TRUE(readPage) << readPage.error().toString();
        EXPECT_EQ(readPage.value().items.front().value, page.items.front().value);
        EXPECT_TRUE(readPage.value().hasMore);
        EXPECT_EQ(readPage.value().revision, 9U);

        const PlatformChanges changes { { { "k", {}, 7, true }, { "l", "w", 8, false } }, 8 };
        const auto readChanges = StoreCodec::decode(ChangesCall {}, answer(200, encodeChanges(changes)));
        ASSERT_TRUE(readChanges);
        EXPECT_TRUE(readChanges.value().items[0].isRemoved);
        EXPECT_EQ(readChanges.value().items[1].value, "w");
    }

    TEST(StoreCodecTest, EraIsReadFromTheHeader)
    {
        HttpResponse response = answer(200, encodePage({ {}, false, 9 })).value();
        EXPECT_EQ(StoreCodec::decode(ListCall {}, response).value().era, 0U);
        response.headers.push_back({ eraHeader, "3" });
        EXPECT_EQ(StoreCodec::decode(ListCall {}, response).value().era, 3U);
        response.body = encodeChanges({ {}, 9 });
        EXPECT_EQ(StoreCodec::decode(ChangesCall {}, response).value().era, 3U);
        for (const char* malformed : { "x", "3x", "-1", "99999999999999999999" }) {
            response.headers.back().value = malformed;
            EXPECT_EQ(StoreCodec::decode(ChangesCall {}, response).error().code, ErrorCode::InvalidArgument);
        }
    }

    TEST(StoreCodecTest, ErrorCodesOfFailures)
    {
        const auto codeOf
            = [](const HttpOutcome& outcome) { return StoreCodec::decode(ChangesCall {}, outcome).error().code; };
        EXPECT_EQ(codeOf(answer(410, "")), ErrorCode::NotFound);
        EXPECT_EQ(codeOf(answer(429, "")), ErrorCode::Unavailable);
        EXPECT_EQ(codeOf(answer(503, "")), ErrorCode::Unavailable);
        EXPECT_EQ(codeOf(answer(200, "{")), ErrorCode::InvalidArgument);
        EXPECT_EQ(codeOf(answer(200, R"({"events":[{"key":"k","value":"eA=="}],"currentRev":1})")),
            ErrorCode::InvalidArgument);
        EXPECT_EQ(codeOf(answer(200, R"({"events":[]})")), ErrorCode::InvalidArgument);
        EXPECT_EQ(codeOf(HttpFailure { HttpFailureKind::NotSent, "" }), ErrorCode::Unavailable);
        EXPECT_EQ(codeOf(HttpFailure { HttpFailureKind::DeadlineExceeded, "" }), ErrorCode::DeadlineExceeded);
        EXPECT_EQ(codeOf(HttpFailure { HttpFailureKind::Lost, "" }), ErrorCode::Unknown);
    }

    // Guards against refusing a whole answer because one value is not base64 or of another type.
    TEST(StoreCodecTest, MalformedValueDoesNotAffectOthers)
    {
        for (const char* value : { "\"*\"", "7", "null", "{}" }) {
            const auto changes = StoreCodec::decode(ChangesCall {},
                answer(200,
                    fmt::format(R"({{"events":[{{"key":"k","revision":1,"value":{}}},)"
                                R"({{"key":"l","revision":2,"value":"eA=="}}],"currentRev":2}})",
                        value)));
            ASSERT_TRUE(changes) << value;
            ASSERT_EQ(changes.value().items.size(), 2U);
            EXPECT_EQ(changes.value().items[0].value, "");
            EXPECT_FALSE(changes.value().items[0].isRemoved);
            EXPECT_EQ(changes.value().items[1].value, "x");
        }
    }

    TEST(StoreCodecTest, MutatedAnswers)
    {
        std::mt19937 random(13);
        const std::string text = encodePage({ { { "k", "value", 5, false }, { "l", "w", 6, false } }, true, 9 });
        for (int round = 0; round < 20000; ++round) {
            std::string changed = text;
            for (std::uint32_t i = random() % 5; i > 0; --i)
                changed[random() % changed.size()] = static_cast<char>(random());
            (void)StoreCodec::decode(ListCall {}, answer(200, changed));
            (void)StoreCodec::decode(ChangesCall {}, answer(200, changed));
        }
    }

}

}
