#include "Soak/SoakServer.h"

#include "Experiment/EventLoop.h"
#include "Soak/SoakPacket.h"
#include "platform/PacketLayout.h"

#include <gtest/gtest.h>

#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr Endpoint loopback { 0x7F000001, 0 };

    // Guards against counting a flow as open at a server that got only a delayed copy of its opening packet; the reset
    // after a crash of the flow's own server would then be reported as a violation.
    TEST(SoakServerTest, OpeningPacketAloneDoesNotOpenFlow)
    {
        EventLoop loop;
        SoakServerEvents events;
        int openings = 0;
        events.onOpening = [&](const RegisteredServer&, const FlowEnds&) { ++openings; };
        events.onCorruptedPacket = [](const RegisteredServer&) { FAIL() << "corrupted packet"; };
        auto answers = UdpSocket::bind(loop.context(), loopback, [](const Endpoint&, std::span<const std::uint8_t>) {});
        ASSERT_TRUE(answers);
        const Endpoint caller = answers.value()->address();
        // Finds a free port for the server.
        Endpoint address;
        {
            auto free
                = UdpSocket::bind(loop.context(), loopback, [](const Endpoint&, std::span<const std::uint8_t>) {});
            ASSERT_TRUE(free);
            address = free.value()->address();
        }
        RegisteredServer entry;
        entry.number = 7;
        entry.id = "i-7";
        entry.address = address;
        auto server = SoakServer::open(loop.context(), entry, caller.port, events);
        ASSERT_TRUE(server);

        TokenPacket packet;
        packet.ends = { caller, { 0xC6120001, 443 } };
        packet.opens = true;
        const auto send = [&](const TokenPacket& sent) {
            const auto prefix = platform::serverPrefix(entry.number);
            std::vector<std::uint8_t> datagram(prefix.begin(), prefix.end());
            const auto body = encodeWithChecksum(sent, {});
            datagram.insert(datagram.end(), body.begin(), body.end());
            answers.value()->send(address, datagram);
        };
        send(packet);
        ASSERT_TRUE(loop.waitUntil([&] { return openings == 1; }, 10s, "the opening packet"));
        EXPECT_FALSE(server.value()->hasOpenFlow(packet.ends));

        packet.opens = false;
        packet.acknowledges = true;
        send(packet);
        EXPECT_TRUE(loop.waitUntil([&] { return server.value()->hasOpenFlow(packet.ends); }, 10s, "the open flow"));
    }

}

}
