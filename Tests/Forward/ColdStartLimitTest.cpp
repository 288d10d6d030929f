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
    constexpr ColdStartSettings shareSettings { 1.5, 5 };
    // 10 a second, times 1.5, and 5 besides.
    constexpr std::size_t bound = 20;

    // The balancers of one zone before cold servers, all of which press as hard as they may. Each hears of the others'
    // coming and going after a delay of its own.
    class ColdZone {
    public:
        ColdZone(
            std::uint32_t seed, std::size_t balancers, std::size_t servers, ColdStartSettings shares = shareSettings)
            : random_(seed)
            , shares_(shares)
        {
            for (std::size_t i = 0; i < servers; ++i)
                servers_.push_back(ForwardFixture::server(i + 1));
            for (std::size_t i = 0; i < balancers; ++i)
                start();
        }

        // A balancer that has just started knows only itself for a while.
        void start()
        {
            Balancer balancer { ++lastId_, std::make_unique<ColdStartLimiter>("walu", shares_), clock_.now(), {} };
            balancers_.push_back(std::move(balancer));
        }
        void end() { balancers_.erase(balancers_.begin() + static_cast<std::ptrdiff_t>(draw(balancers_.size()))); }
        void startAllAgain()
        {
            const std::size_t count = balancers_.size();
            balancers_.clear();
            for (std::size_t i = 0; i < count; ++i)
                start();
        }
        // This part of the balancers hears of nobody else from now on.
        void cutOff(std::size_t count)
        {
            for (std::size_t i = 0; i < count; ++i)
                balancers_[i].isCutOff = true;
        }

        void advance(Duration time)
        {
            for (const TimePoint end = clock_.now() + time; clock_.now() < end; clock_.advance(10ms)) {
                if (clock_.now() >= nextBeat_) {
                    nextBeat_ = clock_.now() + 250ms;
                    beat();
                }
                press();
            }
        }

        // The most flows that a server got in any second, and the mean in a second.
        std::size_t mostInASecond() const
        {
            std::size_t most = 0;
            for (const auto& [server, tries] : tries_) {
                std::size_t first = 0;
                for (std::size_t last = 0; last < tries.size(); ++last) {
                    while (tries[last] - tries[first] >= 1s)
                        ++first;
                    most = std::max(most, last - first + 1);
                }
            }
            return most;
        }
        std::size_t flows() const
        {
            std::size_t sum = 0;
            for (const auto& [server, tries] : tries_)
                sum += tries.size();
            return sum;
        }

    private:
        struct Balancer {
            std::uint32_t id = 0;
            std::unique_ptr<ColdStartLimiter> shares;
            TimePoint startedAt;
            // When it learned that others are there.
            std::map<std::uint32_t, TimePoint> known;
            bool isCutOff = false;
        };

        std::size_t draw(std::size_t count) { return random_() % count; }

        // News of a start or an end takes up to 1.5 s.
        void beat()
        {
            std::vector<std::uint32_t> alive;
            for (const Balancer& balancer : balancers_)
                alive.push_back(balancer.id);
            for (Balancer& balancer : balancers_) {
                std::vector<std::uint32_t> view { balancer.id };
                for (const std::uint32_t id : alive) {
                    const auto [entry, isNew] = balancer.known.try_emplace(id, clock_.now() + 100ms * draw(15));
                    if (id != balancer.id && !balancer.isCutOff && clock_.now() >= entry->second)
                        view.push_back(id);
                }
                // Who ended is believed to live on for as long.
                for (auto& [id, since] : balancer.known) {
                    const bool isGone = std::ranges::count(alive, id) == 0;
                    if (isGone && clock_.now() < gone_.try_emplace(id, clock_.now()).first->second + 100ms * draw(15))
                        view.push_back(id);
                }
                const bool isSettled = clock_.now() - balancer.startedAt > 1s && !balancer.isCutOff;
                balancer.shares->setBalancers(balancer.id, view, isSettled || wasSettled(balancer), clock_.now());
            }
        }

        // A view that has settled once stays so, also in a cut.
        bool wasSettled(const Balancer& balancer) const { return clock_.now() - balancer.startedAt > 5s; }

        void press()
        {
            std::ranges::shuffle(balancers_, random_);
            for (Balancer& balancer : balancers_) {
                for (const RegisteredServer& server : servers_) {
                    if (!balancer.shares->mayOpenFlow(server, coldStart, clock_.now()))
                        continue;
                    balancer.shares->noteAttempt(server, clock_.now());
                    tries_[server.number].push_back(clock_.now());
                }
            }
        }

        ManualClock clock_;
        std::mt19937 random_;
        ColdStartSettings shares_;
        std::vector<Balancer> balancers_;
        std::vector<RegisteredServer> servers_;
        std::map<std::uint64_t, std::vector<TimePoint>> tries_;
        std::map<std::uint32_t, TimePoint> gone_;
        std::uint32_t lastId_ = 100;
        TimePoint nextBeat_;
    };

    // Guards against a sum above the bound while the balancers know each other, and against a bound that nobody uses.
    TEST(ColdStartLimitTest, aZoneOfAnySizeUsesTheBoundAndKeepsIt)
    {
        for (const std::size_t balancers : { 2U, 28U, 100U }) {
            SCOPED_TRACE(balancers);
            ColdZone zone(1, balancers, 10);
            zone.advance(10s);
            EXPECT_LE(zone.mostInASecond(), bound);
            // At least the configured rate, for the seconds in which the zone was settled.
            EXPECT_GE(zone.flows(), 10U * 10U * 5U);
        }
    }

    // Guards against balancers that all take themselves for the owner of everything, since they know nobody yet.
    TEST(ColdStartLimitTest, aStartOfAllKeepsTheBound)
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            ColdZone zone(seed, 28, 5);
            zone.advance(6s);
            zone.startAllAgain();
            zone.advance(6s);
            EXPECT_LE(zone.mostInASecond(), bound) << seed;
        }
    }

    // Guards against owners of before and after a change, who both send.
    TEST(ColdStartLimitTest, comingAndGoingKeepsTheBound)
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            ColdZone zone(seed, 28, 5);
            zone.advance(6s);
            for (int i = 0; i < 20; ++i) {
                zone.end();
                zone.advance(300ms);
                zone.start();
                zone.advance(400ms);
            }
            EXPECT_LE(zone.mostInASecond(), bound) << seed;
        }
    }

    // Guards against balancers that are cut off from the others, think them dead and take over what is theirs.
    TEST(ColdStartLimitTest, balancersThatAreCutOffKeepTheBound)
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            ColdZone zone(seed, 28, 5);
            zone.advance(6s);
            zone.cutOff(9);
            zone.advance(8s);
            EXPECT_LE(zone.mostInASecond(), bound) << seed;
        }
    }

    struct ColdServersTest : testing::Test, ForwardFixture {
        ColdServersTest()
            : limited(limitedSettings())
        {
            limited.applyConfiguration(limitedConfiguration(3, coldStart.flowsPerSecond));
            settle(limited);
        }

        static RouterSettings limitedSettings()
        {
            RouterSettings router = ForwardFixture::settings();
            router.coldStart = shareSettings;
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
            limited.putServer(cold, ++revision, clock.now());
        }
        int taken(int openings)
        {
            int count = 0;
            for (int i = 0; i < openings; ++i)
                count += limited.route(opening(++caller), clock.now()).server != nullptr;
            return count;
        }

        TokenRouter limited;
        std::uint32_t caller = 0;
    };

    // Guards against callers who wait for a cold server that may not get them.
    TEST_F(ColdServersTest, whatExceedsTheShareIsRefusedAtOnceAndGoesOnWhenTheServerIsWarm)
    {
        putCold(1);
        EXPECT_EQ(taken(50), 10);
        const PacketDecision refused = limited.route(opening(++caller), clock.now());
        EXPECT_EQ(refused.verdict, PacketVerdict::Reset);
        EXPECT_EQ(refused.reason, PacketReason::ColdServersFull);
        clock.advance(2100ms);
        EXPECT_EQ(taken(50), 50);
    }

    // Guards against a cold zone being pressed while another one has warm servers.
    TEST_F(ColdServersTest, whatExceedsTheShareGoesToWarmServers)
    {
        putCold(1);
        limited.putServer(server(2, "tryon", "nabua"), ++revision, clock.now());
        EXPECT_EQ(taken(50), 50);
    }

    // Guards against cold servers of a zone whose balancers share them already.
    TEST_F(ColdServersTest, coldServersOfAnotherZoneAreLeftToItsBalancers)
    {
        putCold(1, "nabua");
        EXPECT_EQ(taken(5), 0);
    }

    // Guards against servers that were emptied, became cold and whose entries say so only later.
    TEST_F(ColdServersTest, aZoneThatIsTakenBackCountsAsColdUntilItsEntriesAreNew)
    {
        limited.putServer(server(1), ++revision, clock.now());
        EXPECT_EQ(taken(50), 50);
        limited.setZoneEvacuation("walu", true, ++revision, clock.now());
        clock.advance(3s);
        limited.setZoneEvacuation("walu", false, ++revision, clock.now());
        EXPECT_EQ(taken(50), 10);
        limited.putServer(server(1), ++revision, clock.now());
        EXPECT_EQ(taken(50), 50);
    }

    // Guards against a limit where operators name none, and against one that a new version has changed or taken away.
    TEST_F(ColdServersTest, theRateIsThatOfTheNewestConfiguration)
    {
        putCold(1);
        EXPECT_EQ(taken(50), 10);
        clock.advance(1200ms);
        limited.applyConfiguration(limitedConfiguration(4, 2));
        EXPECT_EQ(taken(50), 4);
        limited.applyConfiguration(configuration(5));
        EXPECT_EQ(taken(50), 50);
    }

}

}
