#pragma once

#include "Forward/TokenRouter.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace wisteriadock {

// A router in the availability zone "walu" with routes to the services "tryon" and "scanintake", and helpers that build
// server entries and packets of callers.
struct ForwardFixture {
    static constexpr Endpoint tryonRoute { 0xC6120001, 8443 };
    static constexpr Endpoint scanRoute { 0xC6120002, 8443 };

    ManualClock clock;
    TokenRouter router { settings() };
    std::uint64_t revision = 10;

    static RouterSettings settings()
    {
        RouterSettings settings;
        settings.availabilityZone = "walu";
        return settings;
    }

    static ForwardingConfiguration configuration(std::uint64_t version)
    {
        return { version,
            { { "overlay", tryonRoute, { { "tryon", 1 } } }, { "scan", scanRoute, { { "scanintake", 1 } } } },
            std::chrono::seconds(15) };
    }

    static RegisteredServer server(std::uint64_t number, const std::string& service = "tryon",
        const std::string& zone = "walu", std::uint32_t host = 0)
    {
        RegisteredServer server;
        server.id = fmt::format("i-{:010x}", number);
        server.number = number;
        server.service = service;
        server.availabilityZone = zone;
        server.address = { 0x0A800000 + (host == 0 ? static_cast<std::uint32_t>(number) : host), 8080 };
        server.slots = 2;
        return server;
    }

    ServerDirectory::Transitions put(const RegisteredServer& server)
    {
        return router.putServer(server, ++revision, clock.now());
    }

    static TokenPacket opening(std::uint32_t caller, std::uint32_t copies = 0, Endpoint route = tryonRoute)
    {
        TokenPacket packet;
        packet.ends = { { 0x64400000 + caller, 40001 }, route };
        packet.sequence = 1000;
        packet.acknowledgement = copies;
        packet.opens = true;
        return packet;
    }

    static TokenPacket data(std::uint32_t caller, std::uint32_t token, std::uint32_t sequence = 1001,
        std::uint32_t acknowledgement = 5001, std::uint16_t bytes = 100, Endpoint route = tryonRoute)
    {
        TokenPacket packet;
        packet.ends = { { 0x64400000 + caller, 40001 }, route };
        packet.token = token;
        packet.sequence = sequence;
        packet.acknowledgement = acknowledgement;
        packet.acknowledges = true;
        packet.payloadBytes = bytes;
        return packet;
    }

    PacketDecision route(const TokenPacket& packet) { return router.route(packet, clock.now()); }

    // Opens a flow that its server answers. Returns the server's token.
    std::uint32_t openFlow(std::uint32_t caller)
    {
        const PacketDecision decision = route(opening(caller));
        const std::uint32_t token = decision.server->token;
        clock.advance(std::chrono::milliseconds(3));
        route(data(caller, token, 1001, 5001, 0));
        return token;
    }
};

}
