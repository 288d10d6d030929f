#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // Balancers and servers of one zone, and the servers of two other zones. Callers open flows one after the other,
    // each through a random balancer. Attempts at a crashed server are answered with a reset, and callers retry twice.
    class ZoneOutageSimulation {
    public:
        struct Size {
            std::size_t balancers = 28;
            std::uint64_t servers = 40;
            int flowsPerSecond = 550;
        };

        ZoneOutageSimulation(std::uint32_t seed, Size size, OpeningSettings opening)
            : random_(seed)
            , size_(size)
        {
            RouterSettings settings = ForwardFixture::settings();
            settings.opening = opening;
            for (std::size_t i = 0; i < size_.balancers; ++i) {
                auto router = std::make_unique<TokenRouter>(settings);
                router->applyConfiguration(ForwardFixture::configuration(3));
                for (std::uint64_t number = 1; number <= size_.servers; ++number) {
                    router->putServer(ForwardFixture::server(number), number, clock_.now());
                    router->putServer(ForwardFixture::server(1000 + number, "tryon", "laucala"), number, clock_.now());
                    router->putServer(ForwardFixture::server(2000 + number, "tryon", "nabua"), number, clock_.now());
                }
                routers_.push_back(std::move(router));
            }
        }

        // Runs for a duration, with all servers of the zone down in between. Returns the number of requests of which no
        // attempt was served.
        int run(Duration duration, Duration downFrom, Duration downUntil)
        {
            const TimePoint start = clock_.now();
            downFrom_ = start + downFrom;
            downUntil_ = start + downUntil;
            const auto gap = std::chrono::duration_cast<Duration>(1s) / size_.flowsPerSecond;
            for (TimePoint at = start; at < start + duration; at += gap)
                schedule(at, [this] { attempt(1); });
            for (TimePoint at = start; at < start + duration; at += 250ms)
                schedule(at, [this] {
                    for (auto& router : routers_)
                        router->tick(clock_.now());
                });
            while (!events_.empty()) {
                Event event = events_.top();
                events_.pop();
                clock_.advance(event.at - clock_.now());
                event.action();
            }
            return unserved_;
        }

    private:
        struct Event {
            TimePoint at;
            std::uint64_t order;
            std::function<void()> action;
            bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
        };

        static constexpr int maxAttempts = 3;
        static constexpr auto roundTrip = 6ms;
        static constexpr auto otherZoneRoundTrip = 9ms;

        void schedule(TimePoint at, std::function<void()> action)
        {
            events_.push({ at, nextOrder_++, std::move(action) });
        }

        void attempt(int number)
        {
            const std::uint32_t caller = ++nextCaller_;
            TokenRouter& router = *routers_[random_() % routers_.size()];
            const PacketDecision decision = router.route(ForwardFixture::opening(caller), clock_.now());
            if (!decision.server) {
                ++unserved_;
                return;
            }
            const bool isOtherZone = decision.server->entry.availabilityZone != "walu";
            const bool isDown = !isOtherZone && clock_.now() >= downFrom_ && clock_.now() < downUntil_;
            const TimePoint answered = clock_.now() + (isOtherZone ? otherZoneRoundTrip : roundTrip);
            if (!isDown) {
                const std::uint32_t token = decision.server->token;
                schedule(answered, [this, &router, caller, token] { serve(router, caller, token); });
            } else if (number < maxAttempts) {
                schedule(answered, [this, number] { attempt(number + 1); });
            } else {
                ++unserved_;
            }
        }

        // Sends a request, and ends the flow after the answer.
        void serve(TokenRouter& router, std::uint32_t caller, std::uint32_t token)
        {
            router.route(ForwardFixture::data(caller, token, 1001, 5001, 100), clock_.now());
            schedule(clock_.now() + 30ms, [this, &router, caller, token] {
                TokenPacket end = ForwardFixture::data(caller, token, 1101, 6001, 0);
                end.finishes = true;
                router.route(end, clock_.now());
            });
        }

        ManualClock clock_;
        std::mt19937 random_;
        Size size_;
        std::vector<std::unique_ptr<TokenRouter>> routers_;
        std::priority_queue<Event> events_;
        std::uint64_t nextOrder_ = 0;
        std::uint32_t nextCaller_ = 0;
        TimePoint downFrom_;
        TimePoint downUntil_;
        int unserved_ = 0;
    };

    // Guards against every balancer losing an opening at every crashed server before it uses other zones.
    TEST(ZoneOutageTest, OutageOfALargeZoneLosesLessThanASecondOfOpenings)
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            const int unserved = ZoneOutageSimulation(seed, {}, {}).run(8s, 2s, 5s);
            RecordProperty(fmt::format("unserved_{}", seed), unserved);
            EXPECT_LT(unserved, 550) << seed;
        }
    }

    // Guards against detection that works only with many balancers and servers.
    TEST(ZoneOutageTest, OutageOfASmallZoneLosesLessThanASecondOfOpenings)
    {
        const ZoneOutageSimulation::Size small { 2, 5, 60 };
        for (std::uint32_t seed = 1; seed <= 5; ++seed)
            EXPECT_LT(ZoneOutageSimulation(seed, small, {}).run(8s, 2s, 5s), 60) << seed;
    }

}

}
