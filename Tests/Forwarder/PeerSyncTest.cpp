#include "Forwarder/PeerSync.h"

#include "Net/Http1Server.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fcntl.h>
#include <random>
#include <thread>
#include <unistd.h>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t loopback = 0x7F000001;
    // The test fails when a condition does not hold within this time.
    constexpr auto testTimeout = 20s;

    // A port that was free at the time of the call.
    std::uint16_t freePort()
    {
        boost::asio::io_context context;
        return Http1Server::listen(context, { loopback, 0 }, [](const auto&) {}).value()->address().port;
    }

    // One of two balancers on loopback addresses. It handles nothing unless poll() is called.
    struct Balancer {
        boost::asio::io_context context;
        int descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
        EventLog log { { "vm", "walu", 1 }, descriptor };
        ForwarderMetrics metrics;
        ServerDirectory directory;
        EvacuatedZones evacuatedZones;
        std::unique_ptr<PeerSync> peerSync;
        std::vector<StoreUpdate> received;

        Balancer() = default;
        ~Balancer() { ::close(descriptor); }
        Balancer(const Balancer&) = delete;
        Balancer& operator=(const Balancer&) = delete;

        bool open(std::uint32_t address, std::uint32_t other, std::uint16_t port, ReplicaSyncSettings settings)
        {
            Member self;
            self.name = Endpoint { address, port }.toString();
            self.id = balancerIdOf(self.name);
            self.availabilityZone = "walu";
            self.peerAddress = { address, port };
            self.requestAddress = self.peerAddress;
            self.incarnation = 1;
            const auto handler = [this](const ReplicaChanged& changed) {
                received.insert(received.end(), changed.items.begin(), changed.items.end());
            };
            auto opened = PeerSync::open(
                context, self, { { other, port } }, address, log, metrics, handler,
                [](const StoreUpdate&) { return true; }, settings);
            if (!opened)
                return false;
            peerSync = std::move(opened).value();
            peerSync->start(Clock::now());
            return true;
        }

        void poll()
        {
            context.poll();
            context.restart();
            peerSync->tick(Clock::now());
        }

        std::uint64_t fetches(const std::string& outcome)
        {
            ForwarderMetrics::Snapshot snapshot;
            snapshot.directory = &directory;
            snapshot.evacuatedZones = &evacuatedZones;
            const std::string text = metrics.text(snapshot).value();
            const std::string name = "wisteriadock_forwarder_fetches_total{outcome=\"" + outcome + "\"} ";
            const auto found = text.find(name);
            return found == std::string::npos ? 0 : std::stoull(text.substr(found + name.size(), 20));
        }
    };

    struct PeerSyncTest : testing::Test {
        ReplicaSyncSettings settings;
        Balancer client;
        Balancer server;

        explicit PeerSyncTest(std::size_t maxDirectPushes = ReplicaSyncSettings().maxDirectPushes,
            std::chrono::milliseconds maxStaleness = 0ms)
        {
            settings.maxDirectPushes = maxDirectPushes;
            settings.maxStaleness = maxStaleness;
            settings.pushTimeout = 0ms;
            settings.listingTimeout = 0ms;
            settings.answerTimeout = 40ms;
            bool isOpen = false;
            for (int i = 0; i < 20 && !isOpen; ++i) {
                const std::uint16_t port = freePort();
                isOpen = client.open(loopback, loopback + 1, port, settings)
                    && server.open(loopback + 1, loopback, port, settings);
            }
            EXPECT_TRUE(isOpen);
            waitUntil([&] { return client.peerSync->members() == 2 && server.peerSync->members() == 2; },
                [&] {
                    client.poll();
                    server.poll();
                });
        }

        template <typename Condition, typename Step> void waitUntil(Condition condition, Step step)
        {
            const TimePoint end = Clock::now() + testTimeout;
            while (!condition()) {
                ASSERT_LT(Clock::now(), end);
                step();
                std::this_thread::sleep_for(1ms);
            }
        }

        // Larger than a datagram, even compressed.
        static StoreDelta largeDelta()
        {
            std::mt19937 random(1);
            std::string randomBytes(20000, ' ');
            std::ranges::generate(randomBytes, [&] { return static_cast<char>(random()); });
            return { 0, 5, false, false, { { "configuration", randomBytes, 5, false } } };
        }
    };

    // Guards against an abandoned fetch that counts as a failure and starts another one, so that the number of requests
    // doubles with each fetch abandoned.
    TEST_F(PeerSyncTest, AnAbandonedFetchIsSentOnceMore)
    {
        const TimePoint began = Clock::now();
        server.peerSync->handleStoreDelta({ largeDelta() }, began);
        // The server is not polled from here on: connections to it are accepted by the kernel, but get no answer.
        waitUntil([&] { return client.fetches("asked") >= 6; }, [&] { client.poll(); });
        const auto timeouts = static_cast<std::uint64_t>((Clock::now() - began) / settings.answerTimeout);
        EXPECT_LE(client.fetches("asked"), 1 + timeouts);
        {
            SCOPED_TRACE("the connection is never established, as with a VM that is powered off");
            const std::uint64_t before = client.fetches("asked");
            const TimePoint since = Clock::now();
            waitUntil(
                [&] { return client.fetches("asked") >= before + 6; }, [&] { client.peerSync->tick(Clock::now()); });
            const auto moreTimeouts = static_cast<std::uint64_t>((Clock::now() - since) / settings.answerTimeout);
            EXPECT_LE(client.fetches("asked"), before + 1 + moreTimeouts);
        }
        {
            SCOPED_TRACE("the server answers again: one fetch suffices");
            waitUntil([&] { return !client.received.empty(); },
                [&] {
                    server.poll();
                    client.poll();
                });
            EXPECT_EQ(client.fetches("ok"), 1U);
        }
    }

    // Guards against relayed or compressed datagrams that the receiver cannot read.
    TEST_F(PeerSyncTest, DeltasArriveInEachFormOfDatagram)
    {
        const auto pollBoth = [&] {
            server.poll();
            client.poll();
        };
        for (Balancer* balancer : { &client, &server })
            balancer->peerSync->handleStoreDelta({ { 0, 5, true, false, {} } }, Clock::now());
        std::uint64_t revision = 5;
        // One small update, and many similar ones that take several compressed datagrams.
        for (const std::size_t count : { 1U, 300U }) {
            SCOPED_TRACE(count);
            client.received.clear();
            StoreDelta delta { revision, revision + count, false, false, {} };
            for (std::size_t i = 0; i < count; ++i)
                delta.items.push_back({ std::string("servers/") + std::to_string(i),
                    std::string(150, 's') + std::to_string(count), ++revision });
            server.peerSync->handleStoreDelta({ delta }, Clock::now());
            waitUntil([&] { return client.peerSync->replicaSync().replica().completeTo() == revision; }, pollBoth);
            EXPECT_EQ(client.received.size(), count);
        }
        EXPECT_EQ(client.fetches("asked"), 0U);
    }

    // Guards against heartbeats and requests for the age of a view that the other one can't read.
    struct FreshnessPeerSyncTest : PeerSyncTest {
        FreshnessPeerSyncTest()
            : PeerSyncTest(ReplicaSyncSettings().maxDirectPushes, 3s)
        {
            for (Balancer* balancer : { &client, &server })
                balancer->peerSync->handleStoreDelta({ { 0, 5, true, false, {} } }, Clock::now());
        }

        // The time as of which the client's view is confirmed.
        TimePoint clientConfirmedAt(TimePoint reference) const
        {
            return reference - client.peerSync->freshness().age(reference).value_or(Duration::zero());
        }

        void pollBoth()
        {
            server.poll();
            client.poll();
        }
    };

    TEST_F(FreshnessPeerSyncTest, AnswersAndHeartbeatsArrive)
    {
        const TimePoint began = Clock::now();
        const TimePoint reference = began + 10h;
        client.peerSync->tickFreshness(false, {}, began);
        server.peerSync->tickFreshness(false, { began, false }, began);
        EXPECT_EQ(clientConfirmedAt(reference), began);
        {
            SCOPED_TRACE("the client has heard nothing for an hour and asks the server, which has heard the store");
            server.peerSync->tickFreshness(false, { began + 1h, false }, began);
            client.peerSync->tickFreshness(false, {}, began + 1h);
            waitUntil([&] { return clientConfirmedAt(reference) > began; }, [&] { pollBoth(); });
        }
        {
            SCOPED_TRACE("the server watches the store and sends heartbeats");
            const TimePoint before = clientConfirmedAt(reference);
            waitUntil([&] { return clientConfirmedAt(reference) > before; },
                [&] {
                    server.peerSync->tickFreshness(true, { Clock::now(), false }, Clock::now());
                    pollBoth();
                });
        }
        {
            SCOPED_TRACE("an answer of the store confirms the view");
            const std::uint64_t lines = client.log.buffer().lines();
            client.peerSync->tickFreshness(false, {}, began + 2h);
            EXPECT_EQ(client.log.buffer().lines(), lines + 1) << "replica.stale";
            client.peerSync->handleStoreAnswer(true, began + 2h);
            EXPECT_EQ(clientConfirmedAt(reference), began + 2h);
            EXPECT_EQ(client.log.buffer().lines(), lines + 2) << "replica.fresh";
        }
    }

    struct RelayingPeerSyncTest : PeerSyncTest {
        RelayingPeerSyncTest()
            : PeerSyncTest(0)
        {
        }
    };

    TEST_F(RelayingPeerSyncTest, RelayedDeltaArrives)
    {
        for (Balancer* balancer : { &client, &server })
            balancer->peerSync->handleStoreDelta({ { 0, 5, true, false, {} } }, Clock::now());
        server.peerSync->handleStoreDelta({ { 5, 6, false, false, { { "servers/1", "x", 6 } } } }, Clock::now());
        waitUntil([&] { return client.peerSync->replicaSync().replica().completeTo() == 6; },
            [&] {
                server.poll();
                client.poll();
            });
        EXPECT_EQ(client.received.size(), 1U);
        EXPECT_EQ(client.fetches("asked"), 0U);
    }

}

}
