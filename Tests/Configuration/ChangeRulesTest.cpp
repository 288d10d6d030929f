#include "Configuration/ChangeRules.h"

#include "Configuration/ExampleConfiguration.h"

#include <gmock/gmock.h>

namespace wisteriadock {
namespace {

    using testing::ElementsAre;
    using testing::IsEmpty;

    std::vector<std::string> changes(const Configuration& before, const Configuration& after)
    {
        std::vector<std::string> lines;
        for (const ConfigurationChange& change : diffConfigurations(before, after))
            lines.push_back(change.toString());
        return lines;
    }

    class ChangeRulesTest : public testing::Test {
    protected:
        const Configuration before_ = parsed(exampleText);
    };

    TEST_F(ChangeRulesTest, DiffListsAllDifferences)
    {
        EXPECT_THAT(changes(before_, before_), IsEmpty());
        EXPECT_THAT(
            changes(before_, parsed(exampleWith("address = 10.0.0.1:443", "address = 10.0.0.1:444\nevenness = 1"))),
            ElementsAre("~ service tryon: address 10.0.0.1:443 -> 10.0.0.1:444, evenness 0.5 -> 1"));
        EXPECT_THAT(changes(before_, parsed(exampleWith("tryon-2]", "tryon-3]"))),
            ElementsAre("- backend_server tryon-2", "+ backend_server tryon-3"));
        EXPECT_THAT(changes(before_, parsed(exampleWith("= nabua", "= nabua\nstate = draining"))),
            ElementsAre("~ backend_server tryon-2: state active -> draining"));
        EXPECT_THAT(changes(Configuration(), before_),
            ElementsAre("+ service scanintake", "+ service tryon", "+ backend_server scan-1",
                "+ backend_server tryon-1", "+ backend_server tryon-2"));
    }

    TEST_F(ChangeRulesTest, RefusesIdleServices)
    {
        const Configuration idle = parsed(std::string(exampleText) + "state = draining\n");
        {
            SCOPED_TRACE("the last active server may only be drained if allowed");
            EXPECT_THAT(checkChange(before_, idle, {}),
                ElementsAre("service scanintake would have no active backend server; --allow_idle_service allows it"));
            EXPECT_THAT(checkChange(before_, idle, { .allowIdleService = true }), IsEmpty());
        }
        {
            SCOPED_TRACE("an already idle service blocks no other change; a new idle one is refused");
            Configuration further = idle;
            further.services[1].evenness = 1;
            EXPECT_THAT(checkChange(idle, further, {}), IsEmpty());
            EXPECT_EQ(checkChange({}, idle, {}).size(), 1U);
        }
    }

    // Guards against packets that reach another service because its address was moved while callers still use it.
    TEST_F(ChangeRulesTest, RefusesMovedAddresses)
    {
        {
            SCOPED_TRACE("two services swap their addresses");
            Configuration swapped = before_;
            std::swap(swapped.services[0].address, swapped.services[1].address);
            EXPECT_THAT(checkChange(before_, swapped, {}),
                ElementsAre("address 10.0.0.1:443 would move from service tryon to scanintake; --allow_moved_address "
                            "allows it",
                    "address 10.0.0.2:443 would move from service scanintake to tryon; --allow_moved_address allows "
                    "it"));
            EXPECT_THAT(checkChange(before_, swapped, { .allowMovedAddress = true }), IsEmpty());
        }
        {
            SCOPED_TRACE("a service is renamed: its address moves to a new service");
            const Configuration renamed = parsed(exampleWith("tryon", "fitting"));
            EXPECT_THAT(checkChange(before_, renamed, {}),
                testing::Contains(testing::HasSubstr("10.0.0.1:443 would move from service tryon to fitting")));
        }
        {
            SCOPED_TRACE("a backend server's addresses move to the other service");
            const Configuration moved
                = parsed(exampleWith("tryon\nflow_address = 10.1.0.2", "scanintake\nflow_address = 10.1.0.2"));
            EXPECT_THAT(checkChange(before_, moved, {}),
                ElementsAre(testing::StartsWith("address 10.1.0.2:9000 would move"),
                    testing::StartsWith("address 10.1.0.2:9001 would move")));
        }
    }

}
}
