#include "Fuzz/FuzzTargets.h"

#include "Forwarder/FetchProtocol.h"
#include "Forwarder/ForwarderSettings.h"
#include "Forwarder/StoreUpdateApplier.h"
#include "Membership/MembersPages.h"
#include "StoreSync/CompressedValue.h"
#include "StoreSync/StoreReplica.h"
#include "Wire/Compression.h"
#include "Wire/PeerMessageCodec.h"
#include "platform/Adapter.h"
#include "platform/ConfigurationText.h"
#include "platform/PacketLayout.h"
#include "platform/StoreCodec.h"
#include "platform/StoredValues.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fcntl.h>
#include <string>
#include <utility>

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

    // An update of any key with any value, such as an entry of another writer or an order to evacuate a zone, beside a
    // server that holds, before or after the first configuration. The first line of the input is the key.
    void applyUpdate(const StoreUpdate& update, bool isConfigured)
    {
        static EventLog log({ "vm", "walu", 1 }, ::open("/dev/null", O_WRONLY | O_CLOEXEC));
        RegisteredServer server;
        server.id = "i-7f3a91c2";
        server.number = 0x7f3a91c2;
        server.service = "tryon";
        server.address = { 0x0A010101, 8080 };
        server.availabilityZone = "walu";
        const TimePoint now = TimePoint(std::chrono::hours(1));
        ForwarderLog lines(log);
        ForwarderMetrics metrics;
        RouterSettings settings;
        settings.availabilityZone = "walu";
        TokenRouter router(std::move(settings));
        StoreUpdateApplier<platform::Adapter> applier(router, lines, metrics);
        if (isConfigured) {
            ForwardingConfiguration configuration { 1, { { "r-1", { 0xC6120001, 443 }, { { "tryon", 1 } } } } };
            const std::string key(platform::configurationKey);
            applier.apply({ { { key, platform::encodeConfiguration(configuration), 7 } }, false, "store", {}, 7 }, now);
        }
        const std::string key = platform::serverKeyOf(server.id);
        applier.apply({ { { key, platform::encodeServer(server), 8 } }, false, "store", {}, 8 }, now);
        require(router.directory().size() == 1);
        applier.apply({ { update }, false, "store", {}, 9 }, now);
        // Only its own entry, or a later process at its address, can change what is known of the server. A first
        // configuration that does not name its service has the entry held.
        const KnownServer* known = router.directory().find(server.id);
        const bool isHeld = !isConfigured && update.key == platform::configurationKey
            && router.directory().heldEntries() == 1 && router.directory().size() == 0;
        require(isHeld || (known && (known->entry == server || update.key == key)));
        require(router.directory().size() <= 2);
    }

    void runStoreUpdate(std::span<const std::uint8_t> input)
    {
        const auto lineEnd = std::ranges::find(input, std::uint8_t('\n'));
        StoreUpdate update { std::string(input.begin(), lineEnd), {}, 9 };
        if (lineEnd != input.end())
            update.value.assign(lineEnd + 1, input.end());
        applyUpdate(update, true);
        applyUpdate(update, false);
    }

    void runFetchAnswer(std::span<const std::uint8_t> input)
    {
        HttpResponse response;
        response.body = textOf(input);
        (void)deltaOf(response);
        response.headers.push_back({ "content-encoding", "zstd" });
        (void)deltaOf(response);
        response.body = compressBytes(textOf(input));
        (void)deltaOf(response);
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
        FuzzTarget { "store_update", runStoreUpdate },
        FuzzTarget { "peer_news", runStoreDelta },
        FuzzTarget { "fetch_answer", runFetchAnswer },
        FuzzTarget { "members_page", runMembersPage },
        FuzzTarget { "settings", runSettings },
    };

}

std::span<const FuzzTarget> fuzzTargets() { return targets; }

}
