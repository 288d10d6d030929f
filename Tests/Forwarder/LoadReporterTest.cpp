#include "Forwarder/LoadReporter.h"

#include "Forward/ForwardFixture.h"
#include "Net/Http1Server.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <fcntl.h>
#include <memory>
#include <thread>
#include <unistd.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t loopback = 0x7F000001;
    // The test fails when a condition does not hold within this time.
    constexpr auto testTimeout = 20s;

    std::uint16_t freePort()
    {
        boost::asio::io_context context;
        return Http1Server::listen(context, { loopback, 0 }, [](const auto&) {}).value()->address().port;
    }

    RouterSettings measuringSettings()
    {
        RouterSettings settings = ForwardFixture::settings();
        settings.measuresLoad = true;
        settings.overload = { true, true };
        return settings;
    }

    // One of two balancers on loopback addresses.
    struct Balancer {
        boost::asio::io_context context;
        int descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
        EventLog log { { "vm", "walu", 1 }, descriptor };
        ForwarderMetrics metrics;
        TokenRouter router { measuringSettings() };
        std::unique_ptr<PeerSync> peerSync;
        std::unique_ptr<LoadReporter> reporter;

        Balancer() = default;
        ~Balancer() { ::close(descriptor); }
        Balancer(const Balancer&) = delete;
        Balancer& operator=(const Balancer&) = delete;

        bool open(std::uint32_t address, std::uint32_t other, std::uint16_t port)
        {
            Member self;
            self.name = Endpoint { address, port }.toString();
            self.id = balancerIdOf(self.name);
            self.availabilityZone = "walu";
            self.peerAddress = { address, port };
            self.requestAddress = self.peerAddress;
            self.incarnation = 1;
            auto opened = PeerSync::open(
                context, self, { { other, port } }, address, log, metrics, [](const ReplicaChanged&) {},
                [](const StoreUpdate&) { return true; });
            if (!opened)
                return false;
            peerSync = std::move(opened).value();
            LoadExchangeSettings settings;
            settings.interval = 250ms;
            reporter = std::make_unique<LoadReporter>(
                self.id, self.availabilityZone, address, settings, *peerSync, router, log, metrics);
            peerSync->start(Clock::now());
            return true;
        }

        // Routes one request that stays in progress.
        void beginRequest(std::uint32_t caller)
        {
            const TimePoint now = Clock::now();
            router.applyConfiguration(ForwardFixture::configuration(1));
            router.putServer(ForwardFixture::server(7), 1, now);
            router.route(ForwardFixture::data(caller, tokenOf(7)), now);
        }

        void poll()
        {
            context.poll();
            context.restart();
            peerSync->tick(Clock::now());
            reporter->tick(Clock::now());
        }

        float demand() const
        {
            const ServiceLoad* load = router.findServiceLoad("tryon");
            return load ? load->totalDemand() : 0;
        }
    };

    // Guards against reports and digests that are sent but not passed on to the router of the other balancer.
    TEST(LoadReporterTest, BothBalancersKnowTheLoadOfBoth)
    {
        Balancer one;
        Balancer two;
        bool isOpen = false;
        for (int i = 0; i < 20 && !isOpen; ++i) {
            const std::uint16_t port = freePort();
            isOpen = one.open(loopback, loopback + 1, port) && two.open(loopback + 1, loopback, port);
        }
        ASSERT_TRUE(isOpen);
        one.beginRequest(1);
        two.beginRequest(2);
        two.beginRequest(3);
        const TimePoint end = Clock::now() + testTimeout;
        const auto knowsAll = [](const Balancer& balancer) { return std::abs(balancer.demand() - 3) < 0.1F; };
        while (!knowsAll(one) || !knowsAll(two)) {
            ASSERT_LT(Clock::now(), end) << one.demand() << " " << two.demand();
            one.poll();
            two.poll();
            std::this_thread::sleep_for(5ms);
        }
        const auto traffic = one.peerSync->traffic();
        const auto load = std::ranges::find(traffic, "load", &TrafficRow::cause);
        ASSERT_NE(load, traffic.end());
        EXPECT_GT(load->receivedBytes, 0U);
    }

}

}
