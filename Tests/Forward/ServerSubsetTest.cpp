#include "Forward/ServerSubset.h"
#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    std::vector<std::uint32_t> idsOf(std::uint32_t balancers)
    {
        std::vector<std::uint32_t> ids;
        for (std::uint32_t i = 0; i < balancers; ++i)
            ids.push_back(1000 + 7 * i);
        return ids;
    }

    TEST(ServerSubsetTest, EachServerBelongsToOneBalancerOfALargeZone)
    {
        for (const std::uint32_t balancers : { 8U, 28U, 197U }) {
            SCOPED_TRACE(balancers);
            const auto ids = idsOf(balancers);
            std::map<std::uint32_t, std::size_t> sizes;
            constexpr std::uint64_t servers = 2000;
            for (std::uint64_t number = 1; number <= servers; ++number) {
                std::size_t owners = 0;
                for (const std::uint32_t id : ids) {
                    ServerSubset subset;
                    subset.setBalancers(id, ids);
                    const bool isOwn = subset.contains(ForwardFixture::server(number));
                    owners += isOwn;
                    sizes[id] += isOwn;
                }
                EXPECT_EQ(owners, 1U);
            }
            for (const auto& [id, size] : sizes)
                EXPECT_LT(size, 3 * servers / balancers + 1);
        }
    }

    TEST(ServerSubsetTest, SmallZoneHasNoSubsets)
    {
        for (const std::uint32_t balancers : { 1U, 2U, 7U }) {
            ServerSubset subset;
            subset.setBalancers(1000, idsOf(balancers));
            for (std::uint64_t number = 1; number <= 100; ++number)
                EXPECT_FALSE(subset.contains(ForwardFixture::server(number)));
        }
    }

    // Guards against servers that get several times the mean because hundreds of balancers choose without knowing of
    // each other.
    TEST(ServerSubsetTest, BalancersThatSeeFewFlowsSpreadThemEvenly)
    {
        constexpr std::uint32_t balancers = 40;
        constexpr std::uint64_t servers = std::uint64_t { 8 } * balancers;
        constexpr std::uint32_t openingsPerServer = 6;
        const auto ids = idsOf(balancers);
        ManualClock clock;
        std::vector<std::unique_ptr<TokenRouter>> routers;
        for (const std::uint32_t id : ids) {
            auto& router = *routers.emplace_back(std::make_unique<TokenRouter>(ForwardFixture::settings()));
            router.applyConfiguration(ForwardFixture::configuration(3));
            for (std::uint64_t number = 1; number <= servers; ++number)
                router.putServer(ForwardFixture::server(number), number, clock.now());
            router.setBalancers(id, ids, true, clock.now());
        }
        std::mt19937 random(1);
        std::map<std::string, std::uint32_t> openings;
        for (std::uint32_t caller = 0; caller < servers * openingsPerServer; ++caller) {
            TokenRouter& router = *routers[random() % balancers];
            const PacketDecision decision = router.route(ForwardFixture::opening(caller), clock.now());
            ++openings[decision.server->entry.id];
            router.route(ForwardFixture::data(caller, decision.server->token), clock.now());
            // Each balancer sees about an opening a second.
            clock.advance(1000ms / balancers);
            if (caller % balancers == 0) {
                for (const auto& each : routers)
                    each->tick(clock.now());
            }
        }
        const auto busiest = std::ranges::max_element(openings, {}, [](const auto& row) { return row.second; });
        EXPECT_LT(busiest->second, 2 * openingsPerServer);
    }

}

}
