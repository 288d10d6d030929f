#include "Core/ListenAddress.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    TEST(ListenAddressTest, EphemeralPort)
    {
        const auto address = parseListenAddress("127.0.0.1:0");
        ASSERT_TRUE(address);
        EXPECT_EQ(address.value().port, 0);
        EXPECT_EQ(address.value().address, 0x7F000001U);
    }

    TEST(ListenAddressTest, InvalidAddressesAreRefused)
    {
        for (const char* text : { ":0", "127.0.0:0", "127.0.0.1", "0", "" }) {
            SCOPED_TRACE(text);
            const auto address = parseListenAddress(text);
            ASSERT_FALSE(address);
            EXPECT_NE(address.error().detail.find(text), std::string::npos);
        }
    }

}
}
