#pragma once

#include "Forward/TokenRouter.h"
#include "Forwarder/ForwarderLifecycle.h"
#include "Forwarder/ForwarderLog.h"
#include "Forwarder/ForwarderMetrics.h"
#include "PacketIo/PacketBatch.h"
#include "PacketIo/PacketSocket.h"
#include "StoreSync/ReplicaSync.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <functional>
#include <span>
#include <string_view>
#include <utility>

namespace wisteriadock {

// Receives flow packets in batches, has TokenRouter decide on each, and forwards, resets or drops it. A batch is sent
// in one system call. Forwarder owns it; everything runs on the thread of the io_context.
template <typename Adapter> class TokenPacketPath {
public:
    // Called when a packet's token is unknown here, or its service has no server that may get it.
    using OnContradiction = std::function<void(TimePoint)>;

    TokenPacketPath(boost::asio::io_context& context, PacketSocket socket, TokenRouter& router,
        const ReplicaSync& replicaSync, ForwarderLifecycle& lifecycle, ForwarderLog& log, ForwarderMetrics& metrics,
        OnContradiction onContradiction)
        : socket_(std::move(socket))
        , descriptor_(context, socket_.descriptor())
        , router_(router)
        , replicaSync_(replicaSync)
        , lifecycle_(lifecycle)
        , log_(log)
        , metrics_(metrics)
        , onContradiction_(std::move(onContradiction))
        , batch_(PacketWait::Never, Adapter::maxPacketBytes)
    {
    }
    // The descriptor belongs to the socket, which closes it.
    ~TokenPacketPath() { descriptor_.release(); }
    TokenPacketPath(const TokenPacketPath&) = delete;
    TokenPacketPath& operator=(const TokenPacketPath&) = delete;

    // Begins with the packets that have waited in the socket's buffer while the process started.
    void start()
    {
        router_.setPacketsHaveWaited(true);
        awaitReadable();
    }

private:
    // Limits how long one wakeup delays the other work of the process.
    static constexpr int maxBatchesPerWakeup = 4;

    void awaitReadable()
    {
        descriptor_.async_wait(
            boost::asio::posix::stream_descriptor::wait_read, [this](const boost::system::error_code& error) {
                if (error)
                    return;
                receive();
                awaitReadable();
            });
    }

    void receive()
    {
        for (int i = 0; i < maxBatchesPerWakeup; ++i) {
            const unsigned received = batch_.receive(socket_.descriptor());
            if (received == 0)
                return;
            const TimePoint now = Clock::now();
            for (unsigned index = 0; index < received; ++index)
                route(index, now);
            if (const unsigned failed = batch_.send(socket_.descriptor()))
                metrics_.countSendFailures(failed);
            if (!batch_.isFull())
                router_.setPacketsHaveWaited(false);
        }
    }

    void route(unsigned index, TimePoint now)
    {
        const std::span<const std::uint8_t> datagram = batch_.datagram(index);
        const auto packet = Adapter::decodePacket(datagram);
        if (!packet) {
            metrics_.countMalformed();
            log_.malformed(datagram.size(), batch_.sender(index), now);
            return;
        }
        lifecycle_.notePacket(now);
        const PacketDecision decision = router_.route(*packet, now);
        metrics_.countPacket(decision.reason, decision.verdict);
        if (packet->opens)
            metrics_.countOpening(decision);
        metrics_.observe(decision.progress);
        if (decision.reason == PacketReason::TokenUnknown || decision.reason == PacketReason::NoServer
            || decision.reason == PacketReason::ZonesEvacuated)
            onContradiction_(now);
        const std::string_view requestId = shouldLogRequest(*packet, decision) ? Adapter::requestIdOf(datagram) : "";
        log_.packet(
            *packet, decision, requestId, router_.configurationVersion(), replicaSync_.replica().completeTo(), now);
        for (const KnownServer* server : decision.choice.ejected)
            log_.ejected(*server, now);
        if (decision.progress.hasRecovered)
            log_.recovered(*decision.server, now);
        if (decision.reason == PacketReason::Established)
            log_.progress(*packet, decision, requestId, now);
        if (decision.verdict == PacketVerdict::Forward)
            forward(index, *decision.server);
        else if (decision.verdict == PacketVerdict::Reset)
            reset(*packet);
    }

    // Whether the packet's log line names its request: where a request begins or is sent again, and where one fails.
    static bool shouldLogRequest(const TokenPacket& packet, const PacketDecision& decision)
    {
        const bool hasFailed = decision.verdict != PacketVerdict::Forward;
        const FlowProgress& progress = decision.progress;
        return packet.payloadBytes > 0
            && (hasFailed || progress.beginsRequest || progress.mayBeRequestHead || progress.isRetransmission);
    }

    void forward(unsigned index, const KnownServer& server)
    {
        const std::span<std::uint8_t> packet = batch_.mutableDatagram(index);
        metrics_.countForwarded(packet.size());
        Adapter::writeToken(packet, server.token);
        const auto prefix = Adapter::serverPrefix(server.entry.number);
        batch_.queue(prefix, packet, server.entry.address);
    }

    // Callers receive packets on the same port number as the forwarder.
    void reset(const TokenPacket& cause)
    {
        const auto header = Adapter::encodeReset(cause);
        batch_.queue(header, {}, { cause.ends.caller.address, socket_.address().port });
    }

    PacketSocket socket_;
    boost::asio::posix::stream_descriptor descriptor_;
    TokenRouter& router_;
    const ReplicaSync& replicaSync_;
    ForwarderLifecycle& lifecycle_;
    ForwarderLog& log_;
    ForwarderMetrics& metrics_;
    OnContradiction onContradiction_;
    PacketBatch batch_;
};

}
