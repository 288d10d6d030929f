#include "Experiment/FleetPlan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace wisteriadock {
namespace {

    TEST(FleetPlanTest, AssignsFourFifthsOfTheServersToTheFirstService)
    {
        const FleetPlan plan = FleetPlan::make({ .backendServers = 19 }, 2);
        const auto services = plan.serviceOfInitialServers();
        EXPECT_EQ(std::count(services.begin(), services.end(), 0u), 15);
        EXPECT_EQ(std::count(services.begin(), services.end(), 1u), 4);
        EXPECT_EQ(plan.servers.size(), 21u);
        EXPECT_EQ(plan.callerServicesArgument(), "tryon@192.0.2.1:7000@15,scanintake@192.0.2.2:7000@4");

        std::set<std::string> names;
        for (const PlannedServer& server : plan.servers)
            names.insert(server.name);
        EXPECT_EQ(names.size(), plan.servers.size());
        EXPECT_EQ(plan.servers.back().service, 0u);
    }

    TEST(FleetPlanTest, AssignsAtLeastOneServerToEachService)
    {
        const FleetPlan plan = FleetPlan::make({ .availabilityZones = 5, .backendServers = 2 }, 0);
        EXPECT_EQ(plan.serviceOfInitialServers(), (std::vector<std::size_t> { 0, 1 }));
        EXPECT_EQ(plan.availabilityZones.size(), 5u);
    }

}
}
