#include "Core/Hash.h"
#include "Core/Identifiers.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    // Balancers of different builds share these values; a change would split every flow during a roll-out.
    TEST(HashTest, keepsItsValuesFromVersionToVersion)
    {
        EXPECT_EQ(hashString("tryon"), hashString("tryon"));
        EXPECT_EQ(hashString(""), 0x2D06800538D394C2ULL);
        EXPECT_NE(hashString("tryon"), hashString("tryon", 1));
    }

    TEST(HashTest, namesOfDifferentKindsGetDifferentIdentifiers)
    {
        EXPECT_NE(serviceIdOf("tryon").value, backendServerIdOf("tryon").value);
        EXPECT_EQ(serviceIdOf("tryon"), serviceIdOf("tryon"));
    }

}
}
