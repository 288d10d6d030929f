#include "Forward/ForwardFixture.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    struct RequestLoadMeterTest : testing::Test, ForwardFixture {
        TokenRouter measuring { measuringSettings() };

        static RouterSettings measuringSettings()
        {
            RouterSettings settings = ForwardFixture::settings();
            settings.measuresLoad = true;
            return settings;
        }

        RequestLoadMeterTest()
        {
            ForwardingConfiguration routes = configuration(1);
            routes.routes[1].shares = { { "tryon", 1 } };
            routes.routes[1].priority = 1;
            for (TokenRouter* target : { &router, &measuring }) {
                target->applyConfiguration(routes);
                target->putServer(server(7), ++revision, clock.now());
            }
            measuring.takeObservedLoad(clock.now());
        }

        void send(const TokenPacket& packet) { measuring.route(packet, clock.now()); }

        void open(std::uint32_t caller, Endpoint to = tryonRoute)
        {
            send(opening(caller, 0, to));
            clock.advance(2ms);
            send(data(caller, tokenOf(7), 1001, 5001, 0, to));
        }

        std::vector<ObservedLoad> take()
        {
            std::vector<ObservedLoad> loads = measuring.takeObservedLoad(clock.now());
            std::ranges::sort(loads, {}, &ObservedLoad::priority);
            return loads;
        }
    };

    // Guards against servers that look twice as busy as they are where requests are short.
    TEST_F(RequestLoadMeterTest, DelayOfAcknowledgementsDoesNotCountAsLoad)
    {
        RouterSettings settings = measuringSettings();
        settings.acknowledgementDelay = 40ms;
        TokenRouter delayed(settings);
        delayed.applyConfiguration(configuration(1));
        delayed.putServer(server(7), 1, clock.now());
        delayed.takeObservedLoad(clock.now());
        delayed.route(opening(1), clock.now());
        delayed.route(data(1, tokenOf(7), 1001, 5001, 0), clock.now());
        const auto inProgress = [&](std::uint32_t sequence, std::uint32_t acknowledged) {
            delayed.route(data(1, tokenOf(7), sequence, acknowledged), clock.now());
            clock.advance(75ms);
            const std::uint32_t end = sequence + 100;
            const std::uint32_t answer = sequence == 1001 ? 300 : 2000;
            delayed.route(data(1, tokenOf(7), end, acknowledged + answer, 0), clock.now());
            clock.advance(425ms);
            return delayed.takeObservedLoad(clock.now())[0].load.inProgress;
        };
        EXPECT_NEAR(inProgress(1001, 5001), 0.035 / 0.5, 0.001);
        EXPECT_NEAR(inProgress(1101, 5301), 0.075 / 0.5, 0.001) << "an answer of two packets is acknowledged at once";
    }

    TEST_F(RequestLoadMeterTest, RequestsInProgressAreAveragedOverTime)
    {
        open(1);
        open(2);
        take();
        send(data(1, tokenOf(7)));
        clock.advance(250ms);
        send(data(2, tokenOf(7)));
        clock.advance(100ms);
        send(data(1, tokenOf(7), 1101, 5301, 0));
        clock.advance(150ms);
        const std::vector<ObservedLoad> loads = take();
        ASSERT_EQ(loads.size(), 1U);
        EXPECT_EQ(loads[0].service, "tryon");
        EXPECT_EQ(loads[0].serverZone, "walu");
        EXPECT_EQ(loads[0].priority, 0U);
        EXPECT_NEAR(loads[0].load.inProgress, (0.35 + 0.25) / 0.5, 0.01);
        EXPECT_NEAR(loads[0].load.begun, 4, 0.1);
        EXPECT_NEAR(loads[0].load.served, 2, 0.1);
        EXPECT_EQ(loads[0].load.answerTime, 350ms);
        {
            SCOPED_TRACE("the next interval begins with the request that is still in progress");
            clock.advance(200ms);
            const std::vector<ObservedLoad> next = take();
            ASSERT_EQ(next.size(), 1U);
            EXPECT_NEAR(next[0].load.inProgress, 1, 0.01);
            EXPECT_EQ(next[0].load.begun, 0);
        }
    }

    TEST_F(RequestLoadMeterTest, RequestsHaveThePriorityOfTheirRoute)
    {
        open(1);
        open(2, scanRoute);
        send(data(1, tokenOf(7)));
        send(data(2, tokenOf(7), 1001, 5001, 100, scanRoute));
        // Another balancer routed this flow's opening.
        send(data(3, tokenOf(7), 1001, 5001, 100, scanRoute));
        clock.advance(100ms);
        const std::vector<ObservedLoad> loads = take();
        ASSERT_EQ(loads.size(), 2U);
        EXPECT_EQ(loads[0].priority, 0U);
        EXPECT_EQ(loads[1].priority, 1U);
        EXPECT_NEAR(loads[1].load.inProgress / loads[0].load.inProgress, 2, 0.1);
    }

    // Guards against requests that stay in progress for ever, so that a service looks full.
    TEST_F(RequestLoadMeterTest, NothingRemainsInProgressWhenFlowsEnd)
    {
        for (std::uint32_t caller = 1; caller <= 4; ++caller) {
            open(caller);
            send(data(caller, tokenOf(7)));
        }
        TokenPacket reset = data(1, tokenOf(7), 1101, 5001, 0);
        reset.resets = true;
        send(reset);
        clock.advance(700ms);
        measuring.tick(clock.now());
        std::vector<ObservedLoad> loads = take();
        ASSERT_EQ(loads.size(), 1U);
        EXPECT_NEAR(loads[0].load.unanswered * 0.708, 4, 0.1);
        {
            SCOPED_TRACE("a flow without packets");
            clock.advance(2500ms);
            measuring.tick(clock.now());
            take();
            clock.advance(500ms);
            EXPECT_TRUE(take().empty());
        }
        {
            SCOPED_TRACE("a server whose process was replaced");
            open(5);
            send(data(5, tokenOf(7)));
            RegisteredServer restarted = server(7);
            restarted.startedAt = 99;
            measuring.putServer(server(7), ++revision, clock.now());
            measuring.putServer(restarted, ++revision, clock.now());
            take();
            clock.advance(500ms);
            EXPECT_TRUE(take().empty());
        }
    }

    // Guards against rejections that count as served, and against sums of outcomes that don't match the requests.
    TEST_F(RequestLoadMeterTest, RejectionsAreRecognisedByTheAnswersThatCallersAcknowledge)
    {
        constexpr std::uint32_t requests = 60;
        std::uint32_t rejected = 0;
        for (std::uint32_t caller = 1; caller <= requests; ++caller) {
            open(caller);
            send(data(caller, tokenOf(7)));
            clock.advance(90ms);
            const bool isRejected = caller > 10 && caller % 2 == 0;
            rejected += isRejected;
            if (!isRejected) {
                // The answer is acknowledged in two parts, the first of which is short.
                send(data(caller, tokenOf(7), 1101, 5001 + 126, 0));
                clock.advance(20ms);
            }
            TokenPacket last = data(caller, tokenOf(7), 1101, 5001 + (isRejected ? 126 : 700 + caller), 0);
            // Every other caller ends its flow; the others leave it open.
            last.finishes = caller % 4 < 2;
            send(last);
        }
        clock.advance(OpenFlowTable::answerCompletionTime);
        measuring.tick(clock.now());
        const double seconds = requests * 0.092 + (requests - rejected) * 0.02 + 0.3;
        const std::vector<ObservedLoad> loads = take();
        ASSERT_EQ(loads.size(), 1U);
        const RequestLoad& load = loads[0].load;
        EXPECT_NEAR(load.begun * seconds, requests, 0.5);
        EXPECT_NEAR((load.served + load.rejected) * seconds, requests, 0.5);
        // The first ones are not known to recur yet.
        EXPECT_NEAR(load.rejected * seconds, rejected - 3, 0.5);
        EXPECT_EQ(load.unanswered, 0);
    }

    TEST_F(RequestLoadMeterTest, NothingIsMeasuredWhenSwitchedOff)
    {
        const std::uint32_t token = openFlow(1);
        route(data(1, token));
        clock.advance(100ms);
        EXPECT_TRUE(router.takeObservedLoad(clock.now()).empty());
        clock.advance(100ms);
        EXPECT_TRUE(router.takeObservedLoad(clock.now()).empty());
    }

    TEST(RequestLoadTest, AnswerTimesAreWeightedByServedRequests)
    {
        RequestLoad sum { 1, 2, 3, 4, 5, 100ms };
        addLoad(sum, { 10, 20, 9, 40, 50, 200ms });
        EXPECT_FLOAT_EQ(sum.inProgress, 11);
        EXPECT_FLOAT_EQ(sum.served, 12);
        EXPECT_NEAR(std::chrono::duration<double>(sum.answerTime).count(), 0.175, 1e-6);
        addLoad(sum, {});
        EXPECT_FLOAT_EQ(sum.served, 12);
        const RequestLoad half = scaledLoad(sum, 0.5F);
        EXPECT_FLOAT_EQ(half.unanswered, 27.5F);
        EXPECT_EQ(half.answerTime, sum.answerTime);
    }

}

}
