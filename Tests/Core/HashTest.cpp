#include "Core/Hash.h"
#include "Core/Identifiers.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    // Guards against a changed hash, with which balancers of two versions would route flows differently.
    TEST(HashTest, StableHashValues)
    {
        EXPECT_EQ(hashString("tryon"), hashString("tryon"));
        EXPECT_EQ(hashString(""), 0x2D06800538D394C2ULL);
        EXPECT_NE(hashString("tryon"), hashString("tryon", 1));
    }

    TEST(HashTest, IdentifiersDifferByKind)
    {
        EXPECT_NE(serviceIdOf("tryon").value, backendServerIdOf("tryon").value);
        EXPECT_EQ(serviceIdOf("tryon"), serviceIdOf("tryon"));
    }

}
}
