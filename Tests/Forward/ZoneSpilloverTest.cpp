#include "Forward/ZoneSpillover.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct ZoneSpilloverTest : testing::Test {
        ManualClock clock;
        ZoneSpillover spillover { "a" };
        std::vector<ZoneSlots> zones { { "a", 80 }, { "b", 80 }, { "c", 80 } };

        // The requests in progress of each zone's callers, all at servers of their own zone.
        static ServiceLoad load(float a, float b, float c)
        {
            ServiceLoad load;
            load.callerZones = { "a", "b", "c" };
            for (const auto& [zone, inProgress] : { std::pair { "a", a }, { "b", b }, { "c", c } }) {
                RequestLoad row;
                row.inProgress = inProgress;
                row.begun = inProgress * 25;
                row.served = std::min(inProgress, 80.0F) * 25;
                load.rows.push_back({ zone, zone, 0, row });
            }
            return load;
        }

        void update(const ServiceLoad& load, ZoneSpillover& target)
        {
            target.update("tryon", ServiceDemand(load, zones), zones, clock.now());
        }
        // Updates four times per second.
        void updateFor(std::chrono::milliseconds time, const ServiceLoad& load)
        {
            for (; time > 0ms; time -= 250ms) {
                clock.advance(250ms);
                update(load, spillover);
            }
        }
        float share(const std::string& zone) { return spillover.sharesOf("tryon")[zone]; }
    };

    // Guards against flows to other zones, at the cost of latency, while the own servers have room.
    TEST_F(ZoneSpilloverTest, NothingGoesElsewhereWithRoomInTheOwnZone)
    {
        updateFor(5s, load(60, 10, 10));
        EXPECT_TRUE(spillover.sharesOf("tryon").empty());
        EXPECT_EQ(spillover.zoneOf("tryon", 1), nullptr);
        EXPECT_EQ(spillover.zoneOf("other", 1), nullptr);
    }

    TEST_F(ZoneSpilloverTest, ExcessGoesWhereThereIsRoom)
    {
        update(load(104, 44, 54), spillover);
        clock.advance(1s);
        updateFor(1s, load(104, 44, 54));
        EXPECT_LE(share("b"), 0.31F) << "shares change by at most 0.2 per second";
        updateFor(5s, load(104, 44, 54));
        // 104 of 80 slots are 36.7 above the average of all zones, 0.84 of the slots.
        EXPECT_NEAR(share("b"), 36.67 / 104 * 23.33 / 36.67, 0.01);
        EXPECT_NEAR(share("c"), 36.67 / 104 * 13.33 / 36.67, 0.01);
        const auto changes = spillover.takeChanges();
        ASSERT_EQ(changes.size(), 2U);
        EXPECT_GE(changes.front().share, ZoneSpillover::reportedShare);
        {
            SCOPED_TRACE("a zone that needs its room gets it back");
            updateFor(5s, load(104, 80, 20));
            EXPECT_EQ(share("b"), 0);
        }
        {
            SCOPED_TRACE("all returns once there is no excess, and the log tells");
            updateFor(5s, load(50, 50, 50));
            EXPECT_TRUE(spillover.sharesOf("tryon").empty());
            EXPECT_EQ(spillover.takeChanges().back().share, 0);
        }
    }

    // Guards against two full zones that both claim the whole room of the third.
    TEST_F(ZoneSpilloverTest, ZonesTogetherSendNoMoreThanThereIsRoom)
    {
        const ServiceLoad shared = load(90, 78, 40);
        ZoneSpillover other("b");
        float sent = 0;
        for (int i = 0; i < 40; ++i) {
            clock.advance(250ms);
            update(shared, spillover);
            update(shared, other);
        }
        sent = share("c") * 90 + other.sharesOf("tryon")["c"] * 78;
        EXPECT_GT(sent, 5);
        EXPECT_LE(sent, (90 + 78 + 40) / 3.0F - 40 + 0.1F);
    }

    // Guards against flows into an evacuated or unreachable zone, whatever the load.
    TEST_F(ZoneSpilloverTest, UnusableZoneGetsNothingAtOnce)
    {
        updateFor(5s, load(104, 44, 54));
        ASSERT_GT(share("b"), 0.1F);
        zones.erase(zones.begin() + 1);
        updateFor(250ms, load(104, 44, 54));
        EXPECT_EQ(share("b"), 0);
        EXPECT_GT(share("c"), 0.1F);
        spillover.forget("tryon");
        EXPECT_TRUE(spillover.sharesOf("tryon").empty());
        EXPECT_EQ(spillover.zoneOf("tryon", 1), nullptr);
    }

    TEST_F(ZoneSpilloverTest, ZoneOfAFlowDependsOnItsHashAlone)
    {
        updateFor(5s, load(104, 44, 54));
        const float toB = share("b");
        int count = 0;
        for (std::uint64_t flow = 0; flow < 10000; ++flow) {
            const std::string* zone = spillover.zoneOf("tryon", flow);
            count += zone && *zone == "b";
            EXPECT_EQ(spillover.zoneOf("tryon", flow), zone);
        }
        EXPECT_NEAR(count / 10000.0, toB, 0.02);
    }

    // Guards against the full queues of a zone, five requests per slot, counting as five times its need.
    TEST_F(ZoneSpilloverTest, WaitingAndRepeatedRequestsDoNotCountAsDemand)
    {
        ServiceLoad full = load(400, 40, 40);
        full.rows[0].load.begun = 5300;
        full.rows[0].load.rejected = 3300;
        const ServiceDemand demand(full, zones);
        // 2,000 accepted per second and 3,300 rejected attempts of 1,100 requests, at 80 slots that serve 2,000.
        EXPECT_NEAR(demand.ofCallers("a"), 80 * 3100 / 2000.0, 0.1);
        EXPECT_NEAR(demand.rejectedShare(), 3300.0 / (5300 + 2000), 0.001);
    }

}

}
