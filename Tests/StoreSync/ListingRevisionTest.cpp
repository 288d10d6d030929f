#include "StoreSync/FleetSimulation.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Six balancers in two zones read listings whose pages come from copies of the store of different ages. Some
    // servers start to drain after the older copies were made.
    struct ListingRevisionTest : testing::Test {
        // From the store's acknowledgement until every balancer knows that a server drains.
        static constexpr auto bound = 3s;
        static constexpr std::size_t drainingServers = 117;

        FleetSimulation fleet { 1 };
        std::vector<RegisteredServer> servers;
        std::vector<RegisteredServer> draining;
        std::vector<FleetSimulation::StoreCopy> copies;

        void registerServers(std::size_t count)
        {
            fleet.writeConfiguration(2, { "tryon" });
            for (std::size_t number = 1; number <= count; ++number) {
                servers.push_back(ForwardFixture::server(number, "tryon", number % 2 == 0 ? "walu" : "nabua"));
                fleet.writeServer(servers.back());
            }
            fleet.advance(3s);
        }

        // Lets servers of all pages start to drain, spread over 1.8 s, and keeps a copy of the store before the first
        // one, after each third and after the last one.
        void drainServers()
        {
            constexpr auto spread = 1800ms;
            const std::size_t step = servers.size() / drainingServers;
            copies.push_back(fleet.copyStore());
            for (std::size_t i = 0; i < drainingServers; ++i) {
                RegisteredServer& server = servers[i * step];
                server.readiness = ServerReadiness::Draining;
                fleet.writeServer(server);
                draining.push_back(server);
                if ((i + 1) % (drainingServers / 3) == 0) {
                    fleet.advance(spread / 3);
                    copies.push_back(fleet.copyStore());
                }
            }
        }

        void startAll()
        {
            for (std::size_t i = 0; i < fleet.balancers().size(); ++i)
                fleet.start(i);
        }

        // How many of the servers that drain each balancer takes for ready, all balancers together.
        std::size_t countUnknown()
        {
            std::size_t count = 0;
            for (auto& balancer : fleet.balancers()) {
                for (const RegisteredServer& server : draining) {
                    const KnownServer* known = balancer.router->directory().find(server.id);
                    count += !known || known->mayTakeFlows();
                }
            }
            return count;
        }
    };

    // Guards against a listing that counts as complete up to the revision of its first page although its second page
    // comes from an older copy: what the second page lacks would never be learned.
    TEST_F(ListingRevisionTest, TwoPagesOfDifferentAges)
    {
        registerServers(906);
        drainServers();
        const FleetSimulation::StoreCopy oldest = copies.front();
        const FleetSimulation::StoreCopy newest = copies.back();
        for (const auto& ages : { std::vector { newest, oldest }, std::vector { oldest, newest } }) {
            fleet.serveListingsFrom(ages);
            SCOPED_TRACE(
                ages.front().revision > ages.back().revision ? "the first page is newer" : "the first page is older");
            startAll();
            fleet.advance(bound);
            EXPECT_EQ(countUnknown(), 0U);
        }
        {
            SCOPED_TRACE("a balancer that starts alone");
            fleet.serveListingsFrom({ newest, oldest });
            for (const std::size_t index : { 0U, 5U }) {
                fleet.start(index);
                fleet.advance(bound);
                EXPECT_EQ(countUnknown(), 0U) << index;
            }
        }
    }

    // Guards against the same in a long listing, whose oldest page is neither the first nor the last one.
    TEST_F(ListingRevisionTest, ManyPagesOfMixedAges)
    {
        registerServers(9060);
        drainServers();
        ASSERT_EQ(copies.size(), 4U);
        fleet.serveListingsFrom({ copies[3], copies[1], copies[2], copies[0], copies[2] });
        startAll();
        fleet.advance(bound);
        EXPECT_EQ(countUnknown(), 0U);
    }

}

}
