#include "Fuzz/FuzzTargets.h"

#include "Forwarder/ForwarderSettings.h"
#include "Membership/MembersPages.h"
#include "StoreSync/CompressedValue.h"
#include "StoreSync/StoreReplica.h"
#include "Wire/PeerMessageCodec.h"
#include "platform/ConfigurationText.h"
#include "platform/PacketLayout.h"
#include "platform/StoreCodec.h"
#include "platform/StoredValues.h"

#include <array>
#include <cstdlib>
#include <string>

namespace wisteriadock {

namespace {

    std::string textOf(std::span<const std::uint8_t> input) { return std::string(input.begin(), input.end()); }

    void require(bool condition)
    {
        if (!condition)
            std::abort();
    }

    void runDatagram(std::span<const std::uint8_t> input)
    {
        const auto packet = platform::decodePacket(input);
        if (!packet)
            return;
        require(packet->payloadBytes + platform::packetHeaderBytes == input.size());
        std::vector<std::uint8_t> copy(input.begin(), input.end());
        platform::writeToken(copy, 7);
        require(platform::decodePacket(copy)->token == 7);
        (void)platform::requestIdOf(input);
        (void)platform::encodeReset(*packet);
    }

    void runServerEntry(std::span<const std::uint8_t> input)
    {
        const auto server = platform::decodeServer("i-7f3a91c2", textOf(input));
        if (!server)
            return;
        require(server.value().number != 0 && server.value().slots > 0 && !server.value().service.empty());
        const auto again = platform::decodeServer("i-7f3a91c2", platform::encodeServer(server.value()));
        require(again && again.value() == server.value());
    }

    void runConfiguration(std::span<const std::uint8_t> input)
    {
        const auto configuration = platform::decodeConfiguration(textOf(input));
        if (configuration)
            RouteTable().replace(configuration.value());
    }

    void runStoreAnswer(std::span<const std::uint8_t> input)
    {
        HttpResponse response;
        response.status = 200;
        response.body = textOf(input);
        (void)platform::StoreCodec::decode(ListCall {}, response);
        (void)platform::StoreCodec::decode(ChangesCall {}, response);
    }

    void runStoreDelta(std::span<const std::uint8_t> input)
    {
        const auto delta = decodeMessage<StoreDelta>(input, maxDeltaBytes);
        if (!delta)
            return;
        StoreReplica replica;
        const TimePoint now = TimePoint(std::chrono::hours(1));
        for (const StoreUpdate& update : replica.merge(delta.value(), now))
            (void)plainValue(update);
        require(replica.merge(delta.value(), now).empty());
    }

    void runMembersPage(std::span<const std::uint8_t> input)
    {
        const auto page = decodeMessage<MembersPageMessage>(input);
        if (page)
            (void)rowsOf(page.value());
        MembersPageMessage compressed;
        compressed.compressedRows = textOf(input);
        (void)rowsOf(compressed);
    }

    void runSettings(std::span<const std::uint8_t> input) { (void)ForwarderSettings::parse("fuzz.ini", textOf(input)); }

    constexpr std::array targets {
        FuzzTarget { "datagram", runDatagram },
        FuzzTarget { "server_entry", runServerEntry },
        FuzzTarget { "configuration", runConfiguration },
        FuzzTarget { "store_answer", runStoreAnswer },
        FuzzTarget { "peer_news", runStoreDelta },
        FuzzTarget { "members_page", runMembersPage },
        FuzzTarget { "settings", runSettings },
    };

}

std::span<const FuzzTarget> fuzzTargets() { return targets; }

}
