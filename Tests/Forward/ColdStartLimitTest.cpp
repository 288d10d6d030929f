#include "Forward/ColdStartLimit.h"
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

    constexpr ColdStartLimit coldStart { 2000ms, 10 };
    constexpr ColdStartSettings limitSettings { 1.5, 5 };
    // 10 flows per second * overage 1.5 + slack 5.
    constexpr std::size_t maxFlowsPerSecond = 20;

    // The balancers of one zone and its cold servers. Every balancer sends as many new flows as it may, and learns of
    // membership changes after random delays.
    class ZoneSimulation {
    public:
        ZoneSimulation(
            std::uint32_t seed, std::size_t balancers, std::size_t servers, ColdStartSettings settings = limitSettings)
            : random_(seed)
            , settings_(settings)
        {
            for (std::size_t i = 0; i < servers; ++i)
                servers_.push_back(ForwardFixture::server(i + 1));
            for (std::size_t i = 0; i < balancers; ++i)
                start();
        }

        // Starts a balancer, which knows only itself at first.
        void start()
        {
            Balancer balancer { ++lastId_, std::make_unique<ColdStartLimiter>("walu", settings_), clock_.now(), {} };
            balancers_.push_back(std::move(balancer));
        }
        // Stops a random balancer.
        void stop()
        {
            balancers_.erase(balancers_.begin() + static_cast<std::ptrdiff_t>(randomBelow(balancers_.size())));
        }
        void restartAll()
        {
            const std::size_t count = balancers_.size();
            balancers_.clear();
            for (std::size_t i = 0; i < count; ++i)
                start();
        }
        // Isolates the first balancers from all others.
        void isolate(std::size_t count)
        {
            for (std::size_t i = 0; i < count; ++i)
                balancers_[i].isIsolated = true;
        }

        void advance(Duration time)
        {
            for (const TimePoint end = clock_.now() + time; clock_.now() < end; clock_.advance(10ms)) {
                if (clock_.now() >= nextUpdate_) {
                    nextUpdate_ = clock_.now() + 250ms;
                    updateMembers();
                }
                sendFlows();
            }
        }

        // The highest number of flows that a server got in any second.
        std::size_t peakFlowsPerSecond() const
        {
            std::size_t peak = 0;
            for (const auto& [server, openings] : openings_) {
                std::size_t first = 0;
                for (std::size_t last = 0; last < openings.size(); ++last) {
                    while (openings[last] - openings[first] >= 1s)
                        ++first;
                    peak = std::max(peak, last - first + 1);
                }
            }
            return peak;
        }
        // The number of flows that all servers got.
        std::size_t flows() const
        {
            std::size_t sum = 0;
            for (const auto& [server, openings] : openings_)
                sum += openings.size();
            return sum;
        }

    private:
        struct Balancer {
            std::uint32_t id = 0;
            std::unique_ptr<ColdStartLimiter> limiter;
            TimePoint startedAt;
            // By balancer: when this balancer learns of its start.
            std::map<std::uint32_t, TimePoint> known;
            bool isIsolated = false;
        };

        std::size_t randomBelow(std::size_t count) { return random_() % count; }

        // Gives every balancer its view of the zone. Starts and stops become known after up to 1.5 s.
        void updateMembers()
        {
            std::vector<std::uint32_t> alive;
            for (const Balancer& balancer : balancers_)
                alive.push_back(balancer.id);
            for (Balancer& balancer : balancers_) {
                std::vector<std::uint32_t> view { balancer.id };
                for (const std::uint32_t id : alive) {
                    const auto [entry, isNew] = balancer.known.try_emplace(id, clock_.now() + 100ms * randomBelow(15));
                    if (id != balancer.id && !balancer.isIsolated && clock_.now() >= entry->second)
                        view.push_back(id);
                }
                // Stopped balancers stay in the view until their stop is known.
                for (auto& [id, since] : balancer.known) {
                    const bool hasStopped = std::ranges::count(alive, id) == 0;
                    if (hasStopped
                        && clock_.now()
                            < stoppedAt_.try_emplace(id, clock_.now()).first->second + 100ms * randomBelow(15))
                        view.push_back(id);
                }
                const bool isSettled = clock_.now() - balancer.startedAt > 1s && !balancer.isIsolated;
                balancer.limiter->setBalancers(balancer.id, view, isSettled || wasSettled(balancer), clock_.now());
            }
        }

        // A view that has settled stays settled, even after isolation.
        bool wasSettled(const Balancer& balancer) const { return clock_.now() - balancer.startedAt > 5s; }

        void sendFlows()
        {
            std::ranges::shuffle(balancers_, random_);
            for (Balancer& balancer : balancers_) {
                for (const RegisteredServer& server : servers_) {
                    if (!balancer.limiter->mayOpenFlow(server, coldStart, clock_.now()))
                        continue;
                    balancer.limiter->noteAttempt(server, clock_.now());
                    openings_[server.number].push_back(clock_.now());
                }
            }
        }

        ManualClock clock_;
        std::mt19937 random_;
        ColdStartSettings settings_;
        std::vector<Balancer> balancers_;
        std::vector<RegisteredServer> servers_;
        std::map<std::uint64_t, std::vector<TimePoint>> openings_;
        std::map<std::uint32_t, TimePoint> stoppedAt_;
        std::uint32_t lastId_ = 100;
        TimePoint nextUpdate_;
    };

    // Guards against exceeding the limit with complete member lists, and against leaving it unused.
    TEST(ColdStartLimitTest, ZoneOfAnySizeUsesTheLimitAndKeepsIt)
    {
        for (const std::size_t balancers : { 2U, 28U, 100U }) {
            SCOPED_TRACE(balancers);
            ZoneSimulation zone(1, balancers, 10);
            zone.advance(10s);
            EXPECT_LE(zone.peakFlowsPerSecond(), maxFlowsPerSecond);
            // At least the configured rate for 10 servers during 5 settled seconds.
            EXPECT_GE(zone.flows(), 10U * 10U * 5U);
        }
    }

    // Guards against balancers that consider themselves owners of all servers before they know the others.
    TEST(ColdStartLimitTest, RestartOfAllBalancersKeepsTheLimit)
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            ZoneSimulation zone(seed, 28, 5);
            zone.advance(6s);
            zone.restartAll();
            zone.advance(6s);
            EXPECT_LE(zone.peakFlowsPerSecond(), maxFlowsPerSecond) << seed;
        }
    }

    // Guards against former and new owners that both send flows after a membership change.
    TEST(ColdStartLimitTest, MembershipChangesKeepTheLimit)
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            ZoneSimulation zone(seed, 28, 5);
            zone.advance(6s);
            for (int i = 0; i < 20; ++i) {
                zone.stop();
                zone.advance(300ms);
                zone.start();
                zone.advance(400ms);
            }
            EXPECT_LE(zone.peakFlowsPerSecond(), maxFlowsPerSecond) << seed;
        }
    }

    // Guards against isolated balancers that take over the servers of the others.
    TEST(ColdStartLimitTest, IsolatedBalancersKeepTheLimit)
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            ZoneSimulation zone(seed, 28, 5);
            zone.advance(6s);
            zone.isolate(9);
            zone.advance(8s);
            EXPECT_LE(zone.peakFlowsPerSecond(), maxFlowsPerSecond) << seed;
        }
    }

    struct ColdServersTest : testing::Test, ForwardFixture {
        ColdServersTest()
            : limitedRouter(limitedRouterSettings())
        {
            limitedRouter.applyConfiguration(limitedConfiguration(3, coldStart.flowsPerSecond));
            settle(limitedRouter);
        }

        static RouterSettings limitedRouterSettings()
        {
            RouterSettings router = ForwardFixture::settings();
            router.coldStart = limitSettings;
            return router;
        }
        static ForwardingConfiguration limitedConfiguration(std::uint64_t version, double rate)
        {
            ForwardingConfiguration configuration = ForwardFixture::configuration(version);
            configuration.coldStartLimits["tryon"] = { 2000ms, rate };
            return configuration;
        }
        void settle(TokenRouter& balancer)
        {
            balancer.setBalancers(7, { 7, 8 }, true, clock.now());
            clock.advance(4s);
        }
        void putCold(std::uint64_t number, const std::string& zone = "walu")
        {
            RegisteredServer cold = server(number, "tryon", zone);
            cold.warmupLeft = 2s;
            limitedRouter.putServer(cold, ++revision, clock.now());
        }
        int countForwarded(int openings)
        {
            int count = 0;
            for (int i = 0; i < openings; ++i)
                count += limitedRouter.route(opening(++caller), clock.now()).server != nullptr;
            return count;
        }

        TokenRouter limitedRouter;
        std::uint32_t caller = 0;
    };

    // Guards against callers that wait although no server may take their flow.
    TEST_F(ColdServersTest, FlowsBeyondTheShareAreResetAtOnceUntilTheServerIsWarm)
    {
        putCold(1);
        EXPECT_EQ(countForwarded(50), 10);
        const PacketDecision refused = limitedRouter.route(opening(++caller), clock.now());
        EXPECT_EQ(refused.verdict, PacketVerdict::Reset);
        EXPECT_EQ(refused.reason, PacketReason::ColdServersFull);
        clock.advance(2100ms);
        EXPECT_EQ(countForwarded(50), 50);
    }

    // Guards against overloading cold servers while another zone has warm ones.
    TEST_F(ColdServersTest, FlowsBeyondTheShareGoToWarmServers)
    {
        putCold(1);
        limitedRouter.putServer(server(2, "tryon", "nabua"), ++revision, clock.now());
        EXPECT_EQ(countForwarded(50), 50);
    }

    // Guards against flows in addition to those of the zone's own balancers.
    TEST_F(ColdServersTest, ColdServersOfAnotherZoneGetNoFlows)
    {
        putCold(1, "nabua");
        EXPECT_EQ(countForwarded(5), 0);
    }

    // Guards against servers that cooled down during an evacuation and still have an old entry.
    TEST_F(ColdServersTest, ServersAreColdAfterAnEvacuationUntilTheirEntryIsWritten)
    {
        limitedRouter.putServer(server(1), ++revision, clock.now());
        EXPECT_EQ(countForwarded(50), 50);
        limitedRouter.setZoneEvacuation("walu", true, ++revision, clock.now());
        clock.advance(3s);
        limitedRouter.setZoneEvacuation("walu", false, ++revision, clock.now());
        EXPECT_EQ(countForwarded(50), 10);
        limitedRouter.putServer(server(1), ++revision, clock.now());
        EXPECT_EQ(countForwarded(50), 50);
    }

    // Guards against a limit that a newer configuration has changed or removed.
    TEST_F(ColdServersTest, NewestConfigurationSetsTheLimit)
    {
        putCold(1);
        EXPECT_EQ(countForwarded(50), 10);
        clock.advance(1200ms);
        limitedRouter.applyConfiguration(limitedConfiguration(4, 2));
        EXPECT_EQ(countForwarded(50), 4);
        limitedRouter.applyConfiguration(configuration(5));
        EXPECT_EQ(countForwarded(50), 50);
    }

}

}
