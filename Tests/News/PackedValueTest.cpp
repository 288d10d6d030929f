#include "News/PackedValue.h"

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

    TEST(PackedValueTest, aLargeValueComesBackWhole)
    {
        std::string text;
        for (int i = 0; i < 1250; ++i)
            text += "{\"name\":\"r-" + std::to_string(i * 7919) + "\",\"prefix\":\"/8443/\",\"type\":\"idempotent\"},";
        StoreUpdate item = itemOf(text);
        packValue(item);
        EXPECT_TRUE(item.isPacked);
        EXPECT_LT(item.value.size(), text.size() / 4);
        ASSERT_TRUE(valueOf(item));
        EXPECT_EQ(valueOf(item).value(), text);
        {
            SCOPED_TRACE("packing it again changes nothing");
            const StoreUpdate before = item;
            packValue(item);
            EXPECT_EQ(item, before);
        }
    }

    TEST(PackedValueTest, whatGainsNothingStaysAsItIs)
    {
        StoreUpdate small = itemOf("{\"state\":\"ready\"}");
        packValue(small);
        EXPECT_FALSE(small.isPacked);
        EXPECT_EQ(valueOf(small).value(), "{\"state\":\"ready\"}");
        std::mt19937 random(3);
        std::string noise(packedFrom, ' ');
        for (char& byte : noise)
            byte = static_cast<char>(random());
        StoreUpdate item = itemOf(noise);
        packValue(item);
        EXPECT_FALSE(item.isPacked);
        EXPECT_EQ(valueOf(item).value(), noise);
    }

    TEST(PackedValueTest, changedBytesAreReadOrRefused)
    {
        StoreUpdate good = itemOf(std::string(5000, 'x') + "end");
        packValue(good);
        ASSERT_TRUE(good.isPacked);
        std::mt19937 random(11);
        int refused = 0;
        for (int round = 0; round < 5000; ++round) {
            StoreUpdate item = good;
            item.value[random() % item.value.size()] = static_cast<char>(random());
            if (random() % 4 == 0)
                item.value.resize(random() % item.value.size());
            const auto value = valueOf(item);
            refused += !value;
            EXPECT_LE(value ? value.value().size() : 0, maxDeltaBytes);
        }
        EXPECT_GT(refused, 1000);
    }

}

}
