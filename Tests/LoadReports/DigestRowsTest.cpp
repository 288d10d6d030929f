#include "LoadReports/DigestRows.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace wisteriadock {

namespace {

    ObservedLoad row(const std::string& service, const std::string& serverZone, float inProgress)
    {
        RequestLoad load;
        load.inProgress = inProgress;
        return { service, serverZone, 0, load };
    }

    float sumOf(const ZoneLoad& zone, const std::string& service)
    {
        float sum = 0;
        for (const ObservedLoad& entry : zone.rows)
            sum += entry.service == service ? entry.load.inProgress : 0;
        return sum;
    }

    // Guards against a demand that looks smaller because rows of a service were cut off a full digest.
    TEST(DigestRowsTest, DemandIsKeptWhenRowsAreMerged)
    {
        std::vector<ZoneLoad> zones(2);
        for (ZoneLoad& zone : zones)
            zone.rows = { row("small", "a", 1), row("large", "a", 10), row("large", "b", 20), row("large", "c", 5) };
        limitRows(zones, 5);
        EXPECT_EQ(zones[0].rows.size() + zones[1].rows.size(), 5U);
        for (const ZoneLoad& zone : zones) {
            EXPECT_FLOAT_EQ(sumOf(zone, "large"), 35);
            EXPECT_FLOAT_EQ(sumOf(zone, "small"), 1);
        }
    }

    TEST(DigestRowsTest, ServicesWithMostRequestsComeFirst)
    {
        std::vector<ZoneLoad> zones(1);
        zones[0].rows = { row("small", "a", 1), row("large", "a", 10), row("medium", "a", 3) };
        limitRows(zones, 2);
        ASSERT_EQ(zones[0].rows.size(), 2U);
        EXPECT_EQ(zones[0].rows[0].service, "large");
        EXPECT_EQ(zones[0].rows[1].service, "medium");
    }

    TEST(DigestRowsTest, FewRowsAreLeftAsTheyAre)
    {
        std::vector<ZoneLoad> zones(1);
        zones[0].rows = { row("b", "a", 1), row("a", "a", 10) };
        limitRows(zones, 2);
        EXPECT_EQ(zones[0].rows[0].service, "b");
    }

}

}
