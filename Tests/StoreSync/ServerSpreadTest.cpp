#include "StoreSync/SlowLinkSimulation.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <array>
#include <random>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Bound from the registration of a server to its arrival in every replica of the zone.
    constexpr auto knownWithin = 2s;
    // Most bytes a second that the busiest balancer exchanges with others.
    constexpr std::uint64_t maxPeerBytesPerSecond = 200'000;

    // An entry as servers write it, about 200 bytes with random parts.
    std::string entryText(std::size_t number, std::mt19937_64& random)
    {
        constexpr std::array zones { "walu", "laucala", "nabua", "samabula", "raiwai" };
        return fmt::format(R"({{"service":"tryon","address":"10.{}.{}.{}:8080","zone":"{}","version":"1.{}",)"
                           R"("maxConcurrency":2,"state":"ready","warmupLeftMs":{},"sequence":1,"born":{}}})",
            number >> 16, (number >> 8) & 255, number & 255, zones[number % zones.size()], random() % 3,
            random() % 2000, 1'770'000'000'000 + random() % 20'000);
    }

    void registerServers(SlowLinkSimulation& fleet, std::size_t count, std::size_t perSecond)
    {
        constexpr auto round = 100ms;
        const std::size_t perRound = perSecond * static_cast<std::size_t>(round / 1ms) / 1000;
        std::mt19937_64 random(1);
        for (std::size_t number = 0; number < count; ++number) {
            fleet.write(fmt::format("servers/i-{:010x}", random() % (1ULL << 40U)), entryText(number, random));
            if ((number + 1) % perRound == 0)
                fleet.advance(round);
        }
    }

    // Guards against pushes that send each receiver the whole text of each entry.
    TEST(ServerSpreadTest, HundredsOfServersRegisterInASmallZone)
    {
        constexpr std::size_t servers = 500;
        constexpr std::size_t perSecond = 100;
        SlowLinkSimulation fleet(1, { { 2, 200 }, { 26, 10 } });
        fleet.writeConfiguration(1, configurationText(1, 40, 0));
        fleet.advance(5s);
        fleet.takeMaxPeerBytes();
        registerServers(fleet, servers, perSecond);
        fleet.advance(knownWithin);
        EXPECT_EQ(fleet.balancersBehind(), 0U);
        EXPECT_LT(fleet.takeMaxPeerBytes() / (servers / perSecond), maxPeerBytesPerSecond);
    }

    // Guards against a zone in which each balancer fetches from the watcher what thousands of servers register.
    TEST(ServerSpreadTest, ThousandsOfServersRegisterWithoutOverloadingTheWatcher)
    {
        constexpr std::size_t servers = 4000;
        constexpr std::size_t perSecond = 1000;
        SlowLinkSimulation fleet(1, { { 10, 200 }, { 187, 20 } });
        fleet.writeConfiguration(1, configurationText(1, 250, 0));
        fleet.advance(5s);
        fleet.setGossipInterval(10s);
        fleet.takeMaxPeerBytes();
        registerServers(fleet, servers, perSecond);
        fleet.advance(knownWithin);
        EXPECT_EQ(fleet.balancersBehind(), 0U);
        EXPECT_LT(fleet.takeMaxPeerBytes() / (servers / perSecond), maxPeerBytesPerSecond);
    }

    // Guards against a restore of the store after which each balancer fetches everything, although it lost little.
    TEST(ServerSpreadTest, RestoreOfTheStoreCostsWhatItLost)
    {
        constexpr std::size_t servers = 4000;
        constexpr auto rewriteDelay = 400ms;
        constexpr auto observed = 5s;
        SlowLinkSimulation fleet(1, { { 10, 200 }, { 187, 20 } });
        fleet.writeConfiguration(1, configurationText(1, 250, 0));
        registerServers(fleet, servers, servers);
        fleet.advance(5s);
        const SlowLinkSimulation::StoreCopy copy = fleet.copyStore();
        std::mt19937_64 random(2);
        const auto writeLost = [&](std::uint64_t version) {
            fleet.writeConfiguration(version, configurationText(version, 250, 1));
            for (std::size_t number = 0; number < 20; ++number)
                fleet.write(fmt::format("servers/i-{:010x}", number), entryText(number, random));
        };
        writeLost(2);
        writeLost(3);
        fleet.advance(2s);
        fleet.takeMaxPeerBytes();
        fleet.restoreStore(copy);
        fleet.advance(rewriteDelay);
        for (const auto& [key, item] : copy.items) {
            if (key.starts_with("servers/"))
                fleet.write(key, item.value);
        }
        writeLost(3);
        fleet.advance(observed - rewriteDelay);
        EXPECT_EQ(fleet.balancersBehind(), 0U);
        EXPECT_LT(fleet.takeMaxPeerBytes() / static_cast<std::uint64_t>(observed / 1s), maxPeerBytesPerSecond);
    }

    // Guards against a start of all balancers that waits until the store has sent each of them a listing of many pages.
    TEST(ServerSpreadTest, ThousandsOfServersAreKnownAgainSoonAfterAPowerFailure)
    {
        constexpr std::size_t servers = 5000;
        // The zone's part of the store's link, where nine zones like it start as well.
        constexpr double storeMegabits = 100;
        constexpr auto knownAgainWithin = 18s;
        SlowLinkSimulation fleet(1, { { 10, 200 }, { 187, 20 } });
        fleet.writeConfiguration(1, configurationText(1, 250, 0));
        registerServers(fleet, servers, servers);
        fleet.advance(5s);
        fleet.setStoreMegabits(storeMegabits);
        fleet.restartAll();
        Duration waited {};
        while (fleet.balancersBehind() > 0 && waited < knownAgainWithin) {
            fleet.advance(100ms);
            waited += 100ms;
        }
        EXPECT_EQ(fleet.balancersBehind(), 0U);
    }

    // Guards against hundreds of balancers whose first pages fill the store's link before a reader has its second one.
    TEST(ServerSpreadTest, BalancersServeTheirZoneBeforeCallersGiveUpAfterAPowerFailure)
    {
        constexpr std::size_t servers = 5000;
        // The zone's part of the store's link, where nine zones like it start as well.
        constexpr double storeMegabits = 100;
        constexpr auto callersGiveUpAfter = 1500ms;
        SlowLinkSimulation fleet(1, { { 10, 200 }, { 187, 20 } });
        fleet.writeConfiguration(1, configurationText(1, 250, 0));
        registerServers(fleet, servers, servers);
        fleet.advance(2s);
        fleet.setStoreMegabits(storeMegabits);
        fleet.restartAll();
        fleet.advance(callersGiveUpAfter);
        EXPECT_EQ(fleet.balancersWithoutOwnZone(), 0U);
    }

}

}
