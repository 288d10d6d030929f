#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Ten servers in the own zone "walu", ten in "nabua"; flows open within 5 ms.
    struct GroupLivenessTest : testing::Test, ForwardFixture {
        GroupLivenessTest()
        {
            router.applyConfiguration(configuration(3));
            for (std::uint64_t number = 1; number <= 10; ++number) {
                put(server(number));
                put(server(100 + number, "tryon", "nabua"));
            }
            for (std::uint32_t caller = 0; caller < 40; ++caller)
                serve(caller);
        }

        // Opens a flow that its server answers. Returns the server's zone.
        std::string serve(std::uint32_t caller)
        {
            const PacketDecision decision = route(opening(caller));
            std::string zone = decision.server->entry.availabilityZone;
            const std::uint32_t token = decision.server->token;
            clock.advance(5ms);
            route(data(caller, token, 1001, 5001, 0));
            return zone;
        }

        // Opens a flow that is answered unless its server stands in the dead zone. Returns the server's zone.
        std::string open(const std::string& deadZone)
        {
            const std::uint32_t caller = ++nextCaller;
            const PacketDecision decision = route(opening(caller));
            std::string zone = decision.server->entry.availabilityZone;
            const std::uint32_t token = decision.server->token;
            clock.advance(5ms);
            if (zone != deadZone)
                route(data(caller, token, 1001, 5001, 0));
            return zone;
        }

        std::uint32_t nextCaller = 1000;
    };

    // Guards against an opening being lost at each of a zone's servers when all of them end together.
    TEST_F(GroupLivenessTest, aZoneWhoseServersAllEndCostsFewOpenings)
    {
        int lost = 0;
        for (int i = 0; i < 200; ++i)
            lost += open("walu") == "walu";
        EXPECT_LE(lost, 10);
        const auto changes = router.takeGroupChanges();
        ASSERT_FALSE(changes.empty());
        EXPECT_EQ(changes.front().availabilityZone, "walu");
        EXPECT_FALSE(changes.front().hasRecovered);
    }

    // Guards against a zone that stays left out after its servers are back.
    TEST_F(GroupLivenessTest, oneAnswerBringsTheWholeGroupBack)
    {
        for (int i = 0; i < 100; ++i)
            open("walu");
        clock.advance(4s);
        std::map<std::string, int> flows;
        for (int i = 0; i < 40; ++i)
            ++flows[open("")];
        EXPECT_GE(flows["walu"], 30);
        EXPECT_TRUE(router.takeGroupChanges().back().hasRecovered);
    }

    // Guards against some dead servers speaking against the others of their zone, which answer.
    TEST_F(GroupLivenessTest, serversThatAnswerKeepTheirGroupIn)
    {
        const auto isDead = [](const KnownServer& server) { return server.entry.number <= 4; };
        for (int i = 0; i < 200; ++i) {
            const std::uint32_t caller = ++nextCaller;
            const PacketDecision decision = route(opening(caller));
            const KnownServer& server = *decision.server;
            EXPECT_EQ(server.entry.availabilityZone, "walu");
            clock.advance(5ms);
            if (!isDead(server))
                route(data(caller, server.token, 1001, 5001, 0));
        }
        EXPECT_TRUE(router.takeGroupChanges().empty());
    }

    // Guards against one service's silence being held against another one.
    TEST_F(GroupLivenessTest, anotherServiceOfTheZoneIsJudgedByItself)
    {
        put(server(50, "scanintake"));
        put(server(51, "scanintake", "nabua"));
        for (int i = 0; i < 100; ++i)
            open("walu");
        const PacketDecision scan = route(opening(7, 0, scanRoute));
        EXPECT_EQ(scan.server->entry.availabilityZone, "walu");
    }

    // Guards against nothing being tried any more when the servers of all zones are silent.
    TEST_F(GroupLivenessTest, withAllGroupsSilentFlowsStillTrySomeServer)
    {
        for (int i = 0; i < 400; ++i) {
            const PacketDecision decision = route(opening(++nextCaller));
            ASSERT_EQ(decision.verdict, PacketVerdict::Forward);
            clock.advance(5ms);
        }
    }

    // Guards against a patience of fixed length: callers on slow networks take longer to answer than it.
    TEST_F(GroupLivenessTest, whereFlowsOpenSlowlyTheGroupIsWaitedForLonger)
    {
        struct Waiting {
            std::uint32_t caller;
            std::uint32_t token;
            TimePoint due;
        };
        std::vector<Waiting> waiting;
        for (int i = 0; i < 600; ++i) {
            const std::uint32_t caller = ++nextCaller;
            const PacketDecision decision = route(opening(caller));
            // 60 to 140 ms, which is below the patience for one server.
            waiting.push_back({ caller, decision.server->token, clock.now() + 60ms + (i * 37 % 80) * 1ms });
            clock.advance(3ms);
            std::erase_if(waiting, [&](const Waiting& one) {
                if (one.due > clock.now())
                    return false;
                route(data(one.caller, one.token, 1001, 5001, 0));
                return true;
            });
            if (i == 200)
                router.takeGroupChanges();
        }
        EXPECT_TRUE(router.takeGroupChanges().empty());
    }

}

}
