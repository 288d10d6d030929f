#include "Balancer/PacketWorker.h"

#include "PacketIo/PacketBatch.h"
#include "Wire/ProxyHeader.h"

#include <array>

namespace wisteriadock {

namespace {

    static_assert(maxProxyHeaderBytes <= maxPacketHeaderBytes);

    // Only a pause of the process makes a batch take longer than this.
    constexpr std::chrono::milliseconds maxBatchDuration { 500 };

}

PacketWorker::PacketWorker(PacketSocket socket, FlowEngine& engine, BalancerId self)
    : socket_(std::move(socket))
    , engine_(engine)
    , self_(self)
    , batch_(std::make_unique<PacketBatch>())
    , thread_([this] { run(); })
{
}

PacketWorker::~PacketWorker()
{
    stopping_.store(true, std::memory_order_relaxed);
    thread_.join();
}

void PacketWorker::run()
{
    while (!stopping_.load(std::memory_order_relaxed)) {
        if (batch_->receive(socket_.descriptor()) > 0)
            routeBatch();
    }
}

void PacketWorker::routeBatch()
{
    counters_.countReceived(batch_->size());
    const TimePoint now = Clock::now();
    for (unsigned i = 0; i < batch_->size(); ++i)
        routePacket(i, now);

    // After a pause between receiving and sending, the decisions are outdated: an address may belong to another service
    // by now. Dropped packets are sent again by their senders; misdirected ones can't be taken back.
    if (Clock::now() - now > maxBatchDuration) {
        const unsigned discarded = batch_->discard();
        for (unsigned i = 0; i < discarded; ++i)
            counters_.countDrop(DropReason::AwaitingContact);
        return;
    }
    const unsigned failed = batch_->send(socket_.descriptor());
    for (unsigned i = 0; i < failed; ++i)
        counters_.countDrop(PacketDrop::SendFailed);
}

void PacketWorker::routePacket(unsigned index, TimePoint now)
{
    const std::span<const std::uint8_t> datagram = batch_->datagram(index);
    const auto packet = decodeProxiedPacket(datagram);
    if (!packet) {
        counters_.countDrop(PacketDrop::Malformed);
        return;
    }

    ProxyHeader header = packet.value().header;
    const auto& mark = header.forwardMark;
    const FlowPacket flowPacket {
        .client = header.client,
        .serviceAddress = header.service,
        .forwardedBy = mark ? mark->origin : BalancerId {},
        .hops = mark ? mark->hops : std::uint8_t { 0 },
    };
    const RouteDecision decision = engine_.route(flowPacket, now);
    switch (decision.kind) {
    case RouteKind::Drop:
        counters_.countDrop(decision.dropReason);
        return;
    case RouteKind::ToBackendServer:
        counters_.countToBackendServer();
        // Without a mark the datagram is passed on unchanged, including any other fields that the fabric put into its
        // header.
        if (!mark) {
            batch_->queue(datagram, decision.destination);
            return;
        }
        header.forwardMark.reset();
        break;
    case RouteKind::ToBalancer:
        counters_.countToBalancer();
        header.forwardMark = ForwardMark {
            .origin = mark ? mark->origin : self_,
            .hops = static_cast<std::uint8_t>(flowPacket.hops + 1),
        };
        break;
    }
    std::array<std::uint8_t, maxProxyHeaderBytes> headerBytes {};
    const std::size_t headerSize = encodeProxyHeader(header, headerBytes);
    batch_->queue(std::span(headerBytes.data(), headerSize), packet.value().payload, decision.destination);
}

}
