#include "Forward/AnswerSizes.h"

#include <gtest/gtest.h>

#include <random>

namespace wisteriadock {

namespace {

    struct AnswerSizesTest : testing::Test {
        AnswerSizes sizes;
        std::mt19937 random { 1 };

        std::uint32_t varying() { return 450 + random() % 4450; }
        std::uint32_t nearlyConstant() { return 750 + random() % 100; }

        int rejectionsAmong(int count, std::uint32_t bytes)
        {
            int rejections = 0;
            for (int i = 0; i < count; ++i)
                rejections += sizes.note(bytes);
            return rejections;
        }
    };

    // Guards against served answers that count as rejections, on routes as they were seen without overload.
    TEST_F(AnswerSizesTest, NothingIsRejectedWithoutOverload)
    {
        int rejections = 0;
        for (int i = 0; i < 2000; ++i)
            rejections += sizes.note(varying());
        EXPECT_LE(rejections, 2);
        AnswerSizes constant;
        for (int i = 0; i < 2000; ++i)
            EXPECT_FALSE(constant.note(nearlyConstant()));
        AnswerSizes single;
        for (int i = 0; i < 2000; ++i)
            EXPECT_FALSE(single.note(126));
    }

    // Guards against rejections that look like served answers: two thirds of the answers have 126 bytes.
    TEST_F(AnswerSizesTest, RecurringShortAnswersAreRejections)
    {
        for (int i = 0; i < 61; ++i)
            sizes.note(varying());
        int missed = 0;
        int wrong = 0;
        for (int i = 0; i < 2500; ++i) {
            const bool isRejected = random() % 3 != 0;
            const bool isRecognised = sizes.note(isRejected ? 126 : varying());
            missed += isRejected && !isRecognised;
            wrong += !isRejected && isRecognised;
        }
        EXPECT_LE(missed, 3);
        EXPECT_LE(wrong, 2);
    }

    // Guards against a usual size that is forgotten while nearly all requests are rejected.
    TEST_F(AnswerSizesTest, UsualSizeIsRememberedWhileAllAreRejected)
    {
        for (int i = 0; i < 35; ++i)
            sizes.note(nearlyConstant());
        EXPECT_EQ(rejectionsAmong(1000, 126), 997);
        EXPECT_FALSE(sizes.note(800));
    }

    // Guards against a route whose answers became shorter for good and that counts as rejecting for ever.
    TEST_F(AnswerSizesTest, ShorterAnswersBecomeUsual)
    {
        for (int i = 0; i < 35; ++i)
            sizes.note(800);
        EXPECT_GT(rejectionsAmong(100, 300), 90);
        rejectionsAmong(5000, 300);
        EXPECT_EQ(rejectionsAmong(100, 300), 0);
    }

    TEST_F(AnswerSizesTest, AProcessThatStartsDuringOverload)
    {
        int missed = 0;
        for (int i = 0; i < 400; ++i) {
            const bool isRejected = random() % 2 != 0;
            missed += !sizes.note(isRejected ? 126 : nearlyConstant()) && isRejected;
        }
        EXPECT_LE(missed, 20);
    }

}

}
