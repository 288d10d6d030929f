#include "Core/Endpoint.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    TEST(EndpointTest, RoundTrip)
    {
        const auto endpoint = Endpoint::parse("192.0.2.7:443");
        ASSERT_TRUE(endpoint);
        EXPECT_EQ(endpoint.value().address, 0xC0000207U);
        EXPECT_EQ(endpoint.value().port, 443);
        EXPECT_EQ(endpoint.value().toString(), "192.0.2.7:443");
    }

    TEST(EndpointTest, MalformedTextIsRefused)
    {
        for (const char* text :
            { "", "192.0.2.7", "192.0.2:1", "192.0.2.7:0", "192.0.2.7:65536", "a:1", ":1", "192.0.2.7:4x" }) {
            SCOPED_TRACE(text);
            const auto endpoint = Endpoint::parse(text);
            ASSERT_FALSE(endpoint);
            EXPECT_EQ(endpoint.error().code, ErrorCode::InvalidArgument);
            EXPECT_NE(endpoint.error().detail.find(text), std::string::npos);
        }
    }

}
}
