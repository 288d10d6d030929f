#include "Balancer/PacketWorker.h"

#include "PacketIo/PacketBatch.h"
#include "Wire/ProxyHeader.h"

#include <array>

namespace wisteriadock {

namespace {

    static_assert(largestProxyHeader <= largestPacketHead);

    // No batch takes nearly as long, unless the process did not run meanwhile.
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

    // A process that is stopped between reading packets and sending them wakes with decisions that may be minutes old:
    // an address may belong to another service by now. A lost packet is sent again, a misdirected one is not undone.
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
        // Without a mark the datagram goes on as it came, with whatever else the fabric put into its header.
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
    std::array<std::uint8_t, largestProxyHeader> head {};
    const std::size_t headBytes = encodeProxyHeader(header, head);
    batch_->queue(std::span(head.data(), headBytes), packet.value().payload, decision.destination);
}

}
