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

    TEST_F(ChangeRulesTest, diffNamesEveryDifference)
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

    TEST_F(ChangeRulesTest, aServiceKeepsAnActiveBackendServer)
    {
        const Configuration idle = parsed(std::string(exampleText) + "state = draining\n");
        {
            SCOPED_TRACE("its last active server may not drain, unless allowed");
            EXPECT_THAT(checkChange(before_, idle, {}),
                ElementsAre("service scanintake would have no active backend server; --allow_idle_service allows it"));
            EXPECT_THAT(checkChange(before_, idle, { .allowIdleService = true }), IsEmpty());
        }
        {
            SCOPED_TRACE("a service that was idle already blocks no other change, a new idle one is refused");
            Configuration further = idle;
            further.services[1].evenness = 1;
            EXPECT_THAT(checkChange(idle, further, {}), IsEmpty());
            EXPECT_EQ(checkChange({}, idle, {}).size(), 1U);
        }
    }

    // Symptom: a packet meant for try-on reached scan intake. Sequence: an operator gave try-on's address to scan
    // intake in one file; callers of try-on still sent to it. Cause: a moved address makes no difference to a caller.
    TEST_F(ChangeRulesTest, anAddressStaysWithItsService)
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
            SCOPED_TRACE("a service is renamed: the old one is gone, and its address belongs to a new one");
            const Configuration renamed = parsed(exampleWith("tryon", "fitting"));
            EXPECT_THAT(checkChange(before_, renamed, {}),
                testing::Contains(testing::HasSubstr("10.0.0.1:443 would move from service tryon to fitting")));
        }
        {
            SCOPED_TRACE("a backend server's address goes to the other service");
            const Configuration moved
                = parsed(exampleWith("tryon\nflow_address = 10.1.0.2", "scanintake\nflow_address = 10.1.0.2"));
            EXPECT_THAT(checkChange(before_, moved, {}),
                ElementsAre(testing::StartsWith("address 10.1.0.2:9000 would move"),
                    testing::StartsWith("address 10.1.0.2:9001 would move")));
        }
    }

}
}
