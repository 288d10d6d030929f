#include "StandIns/FlagText.h"
#include "StandIns/BackendSpec.h"
#include "StandIns/CallerFlowTypes.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    TEST(FlagTextTest, BackendServerFlag)
    {
        const auto spec = BackendSpec::parse("tryon-1@tryon@127.0.0.1:4000@127.0.0.1:0@2@2000");
        ASSERT_TRUE(spec);
        EXPECT_EQ(spec.value().id, backendServerIdOf("tryon-1"));
        EXPECT_EQ(spec.value().service, serviceIdOf("tryon"));
        EXPECT_EQ(spec.value().flowAddress.port, 4000);
        EXPECT_EQ(spec.value().requestAddress, (Endpoint { 0x7F000001, 0 }));
        EXPECT_EQ(spec.value().slots, 2U);
        EXPECT_EQ(spec.value().connections, 2000U);
    }

    TEST(FlagTextTest, MalformedBackendServerFlagsAreRejected)
    {
        for (const char* text : { "", "a@b", "@s@127.0.0.1:1@127.0.0.1:2@2@3", "a@s@127.0.0.1@127.0.0.1:2@2@3",
                 "a@s@127.0.0.1:1@127.0.0.1:2@0@3", "a@s@127.0.0.1:1@127.0.0.1:2@2@3x",
                 "a@s@127.0.0.1:1@127.0.0.1:2@2@3@4" }) {
            SCOPED_TRACE(text);
            EXPECT_FALSE(BackendSpec::parse(text));
        }
    }

    TEST(FlagTextTest, ServiceFlag)
    {
        const auto service = CallerService::parse("tryon@192.0.2.1:443@0.8");
        ASSERT_TRUE(service);
        EXPECT_EQ(service.value().id, serviceIdOf("tryon"));
        EXPECT_EQ(service.value().share, 0.8);
        for (const char* text :
            { "", "tryon@192.0.2.1:443", "tryon@192.0.2.1@1", "t@192.0.2.1:443@0", "t@192.0.2.1:1@x" }) {
            SCOPED_TRACE(text);
            EXPECT_FALSE(CallerService::parse(text));
        }
    }

}
}
