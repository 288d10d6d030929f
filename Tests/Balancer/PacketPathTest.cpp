#include "Balancer/PacketPath.h"

#include "Balancer/LoopbackTest.h"
#include "Net/UdpSocket.h"
#include "Wire/ProxyHeader.h"

#include <gtest/gtest.h>

#include <map>
#include <thread>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    const BalancerId self = balancerIdOf("b1");
    constexpr Endpoint tryonAddress { 0xc0000201, 443 };
    constexpr Endpoint scanintakeAddress { 0xc0000202, 443 };

    std::vector<std::uint8_t> makeDatagram(const ProxyHeader& header, std::string_view payload)
    {
        std::vector<std::uint8_t> datagram(maxProxyHeaderBytes);
        datagram.resize(encodeProxyHeader(header, datagram));
        datagram.insert(datagram.end(), payload.begin(), payload.end());
        return datagram;
    }

    // A packet path whose flow engine has settled its tables, with two backend servers and a fabric.
    class PacketPathTest : public LoopbackTest {
    protected:
        struct ReceivedPacket {
            std::string server;
            ProxyHeader header;
            std::string payload;
        };

        void SetUp() override
        {
            tryon_ = openServer("try1");
            scanintake_ = openServer("scan1");
            fabric_ = openServer("fabric");
            settleEngine();
            auto path = PacketPath::start(anyLoopbackPort, 3, engine_, self);
            ASSERT_TRUE(path);
            path_ = std::move(path.value());
        }

        std::unique_ptr<UdpSocket> openServer(const std::string& name)
        {
            const auto take = [this, name](const Endpoint&, std::span<const std::uint8_t> bytes) {
                const auto packet = decodeProxiedPacket(bytes);
                ASSERT_TRUE(packet);
                const auto payload = packet.value().payload;
                received_.push_back({ name, packet.value().header, std::string(payload.begin(), payload.end()) });
            };
            return std::move(UdpSocket::bind(context_, anyLoopbackPort, take).value());
        }

        void settleEngine()
        {
            Configuration configuration;
            addService(configuration, "scanintake", scanintakeAddress, "scan1", scanintake_->address());
            addService(configuration, "tryon", tryonAddress, "try1", tryon_->address());
            MembersView view;
            view.self = self;
            Member member;
            member.id = self;
            view.members.push_back(member);

            TimePoint now = Clock::now();
            engine_.applyMembers(std::make_shared<const MembersView>(view), now);
            engine_.applyConfiguration(std::make_shared<const Configuration>(configuration), 1, now);
            for (int i = 0; i < 100 && !engine_.isSynchronized(); ++i) {
                now += 50ms;
                engine_.tick(now);
            }
            ASSERT_TRUE(engine_.isSynchronized());
        }

        static void addService(Configuration& configuration, const std::string& name, Endpoint address,
            const std::string& serverName, Endpoint serverAddress)
        {
            configuration.services.push_back({ .name = name, .id = serviceIdOf(name), .address = address });
            BackendServer server;
            server.name = serverName;
            server.id = backendServerIdOf(serverName);
            server.service = serviceIdOf(name);
            server.flowAddress = serverAddress;
            configuration.backendServers.push_back(server);
        }

        // The engine gets no ticks during a test, which must not count as a pause of the process.
        static FlowSettings settings()
        {
            FlowSettings settings;
            settings.pauseThreshold = 24h;
            return settings;
        }

        void send(const ProxyHeader& header, std::string_view payload)
        {
            fabric_->send(path_->address(), makeDatagram(header, payload));
        }

        void awaitPackets(std::size_t count)
        {
            runUntil([&] { return received_.size() >= count; });
            ASSERT_EQ(received_.size(), count);
        }

        FlowEngine engine_ { settings(), self, 11 };
        std::vector<ReceivedPacket> received_;
        std::unique_ptr<UdpSocket> tryon_;
        std::unique_ptr<UdpSocket> scanintake_;
        std::unique_ptr<UdpSocket> fabric_;
        std::unique_ptr<PacketPath> path_;
    };

    TEST_F(PacketPathTest, PacketsAreSentToTheirService)
    {
        constexpr Endpoint client { 0xcb007101, 50000 };
        send({ client, tryonAddress, {} }, "frame");
        awaitPackets(1);
        send({ client, scanintakeAddress, {} }, "scan");
        awaitPackets(2);

        EXPECT_EQ(received_[0].server, "try1");
        EXPECT_EQ(received_[0].header, (ProxyHeader { client, tryonAddress, {} }));
        EXPECT_EQ(received_[0].payload, "frame");
        EXPECT_EQ(received_[1].server, "scan1");
        EXPECT_EQ(received_[1].payload, "scan");
    }

    TEST_F(PacketPathTest, ForwardMarkIsRemovedForBackendServer)
    {
        const ForwardMark mark { balancerIdOf("b2"), 1 };
        send({ { 0xcb007101, 50000 }, tryonAddress, mark }, "frame");
        awaitPackets(1);
        EXPECT_EQ(received_[0].header.forwardMark, std::nullopt);
        EXPECT_EQ(received_[0].payload, "frame");
    }

    TEST_F(PacketPathTest, UnroutablePacketsAreCountedAndDropped)
    {
        fabric_->send(path_->address(), std::vector<std::uint8_t> { 1, 2, 3 });
        fabric_->send(path_->address(), std::vector<std::uint8_t>(1400, 0xff));
        send({ { 0xcb007101, 50000 }, { 0xc0000209, 443 }, {} }, "lost");
        runUntil([&] { return path_->totals().received == 3; });
        send({ { 0xcb007101, 50000 }, tryonAddress, {} }, "frame");
        awaitPackets(1);

        const PacketTotals totals = path_->totals();
        EXPECT_EQ(totals.droppedFor(PacketDrop::Malformed), 2U);
        EXPECT_EQ(totals.droppedFor(PacketDrop::UnknownAddress), 1U);
        EXPECT_EQ(totals.toBackendServer, 1U);
    }

    TEST_F(PacketPathTest, ManyClientsThroughOneFabricAddress)
    {
        constexpr std::uint32_t clients = 500;
        // Limited by the receive buffer of the server.
        constexpr std::uint32_t clientsAtOnce = 50;
        for (std::uint32_t i = 0; i < clients; ++i) {
            send({ { 0xcb007100 + i, static_cast<std::uint16_t>(40000 + i) }, tryonAddress, {} }, "frame");
            if ((i + 1) % clientsAtOnce == 0)
                awaitPackets(i + 1);
        }
        EXPECT_EQ(path_->totals().toBackendServer, clients);
    }

    // Guards against two balancers that share one flow address, so that each receives only part of the packets.
    TEST_F(PacketPathTest, AddressOfAnotherBalancerIsRejected)
    {
        const auto second = PacketPath::start(path_->address(), 2, engine_, self);
        ASSERT_FALSE(second);
        EXPECT_EQ(second.error().code, ErrorCode::Unavailable);
    }

}

}
