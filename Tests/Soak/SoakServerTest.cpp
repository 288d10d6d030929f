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

    // Symptom: the soak called two true resets broken promises (seed 63045).
    // Sequence: a forwarder is paused; a caller's first copies wait in its socket while the last one opens the flow at
    // another server; when it goes on, the copies reach a server that never sees the flow again. The flow's own server
    // crashes, its address goes to another, and the flow is reset.
    // Cause: every server that had seen an opening packet counted as one that holds the flow.
    TEST(SoakServerTest, aFlowIsHeldOnceItIsOpenAndNotByItsOpeningPacketAlone)
    {
        EventLoop loop;
        SoakServerEvents events;
        int openings = 0;
        events.onOpening = [&](const RegisteredServer&, const FlowEnds&) { ++openings; };
        events.onCorruptedPacket = [](const RegisteredServer&) { FAIL() << "a packet was changed"; };
        auto answers = UdpSocket::bind(loop.context(), loopback, [](const Endpoint&, std::span<const std::uint8_t>) {});
        ASSERT_TRUE(answers);
        const Endpoint caller = answers.value()->address();
        // The system chooses a port, which the server then takes.
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
