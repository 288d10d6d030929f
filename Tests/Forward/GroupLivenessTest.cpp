#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Ten servers in the balancer's zone "walu" and ten in "nabua". Flows open within 5 ms.
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

        // Opens a flow that is answered unless its server is in the failed zone. Returns the server's zone.
        std::string open(const std::string& failedZone)
        {
            const std::uint32_t caller = ++nextCaller;
            const PacketDecision decision = route(opening(caller));
            std::string zone = decision.server->entry.availabilityZone;
            const std::uint32_t token = decision.server->token;
            clock.advance(5ms);
            if (zone != failedZone)
                route(data(caller, token, 1001, 5001, 0));
            return zone;
        }

        std::uint32_t nextCaller = 1000;
    };

    // Guards against losing an opening at every server of a zone whose servers fail together.
    TEST_F(GroupLivenessTest, FailureOfAllServersOfAZoneLosesFewOpenings)
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

    // Guards against a group that stays ejected after its servers have recovered.
    TEST_F(GroupLivenessTest, OneAnswerEndsTheEjectionOfAGroup)
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

    // Guards against ejecting a group of which only some servers have failed.
    TEST_F(GroupLivenessTest, GroupWithResponsiveServersIsNotEjected)
    {
        const auto hasFailed = [](const KnownServer& server) { return server.entry.number <= 4; };
        for (int i = 0; i < 200; ++i) {
            const std::uint32_t caller = ++nextCaller;
            const PacketDecision decision = route(opening(caller));
            const KnownServer& server = *decision.server;
            EXPECT_EQ(server.entry.availabilityZone, "walu");
            clock.advance(5ms);
            if (!hasFailed(server))
                route(data(caller, server.token, 1001, 5001, 0));
        }
        EXPECT_TRUE(router.takeGroupChanges().empty());
    }

    // Guards against ejecting the servers of another service in the zone.
    TEST_F(GroupLivenessTest, OtherServiceOfTheZoneIsNotEjected)
    {
        put(server(50, "scanintake"));
        put(server(51, "scanintake", "nabua"));
        for (int i = 0; i < 100; ++i)
            open("walu");
        const PacketDecision scan = route(opening(7, 0, scanRoute));
        EXPECT_EQ(scan.server->entry.availabilityZone, "walu");
    }

    // Guards against dropping new flows while all groups are ejected.
    TEST_F(GroupLivenessTest, FlowsAreForwardedWhileAllGroupsAreEjected)
    {
        for (int i = 0; i < 400; ++i) {
            const PacketDecision decision = route(opening(++nextCaller));
            ASSERT_EQ(decision.verdict, PacketVerdict::Forward);
            clock.advance(5ms);
        }
    }

    // Guards against a fixed timeout, which callers on slow networks exceed.
    TEST_F(GroupLivenessTest, TimeoutFollowsTheOpeningLatency)
    {
        struct PendingOpening {
            std::uint32_t caller;
            std::uint32_t token;
            TimePoint answerAt;
        };
        std::vector<PendingOpening> pending;
        for (int i = 0; i < 600; ++i) {
            const std::uint32_t caller = ++nextCaller;
            const PacketDecision decision = route(opening(caller));
            // 60 to 140 ms, less than OpeningSettings::openingTimeout.
            pending.push_back({ caller, decision.server->token, clock.now() + 60ms + (i * 37 % 80) * 1ms });
            clock.advance(3ms);
            std::erase_if(pending, [&](const PendingOpening& opening) {
                if (opening.answerAt > clock.now())
                    return false;
                route(data(opening.caller, opening.token, 1001, 5001, 0));
                return true;
            });
            if (i == 200)
                router.takeGroupChanges();
        }
        EXPECT_TRUE(router.takeGroupChanges().empty());
    }

}

}
