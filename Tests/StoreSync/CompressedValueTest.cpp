#include "StoreSync/CompressedValue.h"

#include <gtest/gtest.h>

#include <random>

namespace wisteriadock {

namespace {

    StoreUpdate itemOf(std::string value)
    {
        StoreUpdate item;
        item.key = "configuration";
        item.value = std::move(value);
        return item;
    }

    TEST(CompressedValueTest, LargeValueIsRestored)
    {
        std::string text;
        for (int i = 0; i < 1250; ++i)
            text += "{\"name\":\"r-" + std::to_string(i * 7919) + "\",\"prefix\":\"/8443/\",\"type\":\"idempotent\"},";
        StoreUpdate item = itemOf(text);
        compressValue(item);
        EXPECT_TRUE(item.isCompressed);
        EXPECT_LT(item.value.size(), text.size() / 4);
        ASSERT_TRUE(plainValue(item));
        EXPECT_EQ(plainValue(item).value(), text);
        {
            SCOPED_TRACE("compressing it again changes nothing");
            const StoreUpdate before = item;
            compressValue(item);
            EXPECT_EQ(item, before);
        }
    }

    TEST(CompressedValueTest, IncompressibleValueStaysUnchanged)
    {
        StoreUpdate small = itemOf("{\"state\":\"ready\"}");
        compressValue(small);
        EXPECT_FALSE(small.isCompressed);
        EXPECT_EQ(plainValue(small).value(), "{\"state\":\"ready\"}");
        std::mt19937 random(3);
        std::string noise(compressionThreshold, ' ');
        for (char& byte : noise)
            byte = static_cast<char>(random());
        StoreUpdate item = itemOf(noise);
        compressValue(item);
        EXPECT_FALSE(item.isCompressed);
        EXPECT_EQ(plainValue(item).value(), noise);
    }

    TEST(CompressedValueTest, CorruptBytesAreDecompressedOrRejected)
    {
        StoreUpdate good = itemOf(std::string(5000, 'x') + "end");
        compressValue(good);
        ASSERT_TRUE(good.isCompressed);
        std::mt19937 random(11);
        int refused = 0;
        for (int round = 0; round < 5000; ++round) {
            StoreUpdate item = good;
            item.value[random() % item.value.size()] = static_cast<char>(random());
            if (random() % 4 == 0)
                item.value.resize(random() % item.value.size());
            const auto value = plainValue(item);
            refused += !value;
            EXPECT_LE(value ? value.value().size() : 0, maxDeltaBytes);
        }
        EXPECT_GT(refused, 1000);
    }

}

}
