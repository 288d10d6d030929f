#include "Balancer/PacketBatch.h"

#include "Balancer/SocketAddress.h"

#include <utility>

namespace wisteriadock {

PacketBatch::PacketBatch()
    : bytes_(capacity * largestPacket)
{
    for (std::size_t i = 0; i < capacity; ++i) {
        incomingParts_[i] = { .iov_base = bytes_.data() + i * largestPacket, .iov_len = largestPacket };
        incoming_[i].msg_hdr.msg_iov = &incomingParts_[i];
        incoming_[i].msg_hdr.msg_iovlen = 1;

        Outgoing& outgoing = outgoing_[i];
        msghdr& head = outgoingHeads_[i].msg_hdr;
        head.msg_name = &outgoing.destination;
        head.msg_namelen = sizeof(outgoing.destination);
        head.msg_iov = outgoing.parts.data();
    }
}

unsigned PacketBatch::receive(int descriptor)
{
    queued_ = 0;
    const int received = ::recvmmsg(descriptor, incoming_.data(), capacity, MSG_WAITFORONE, nullptr);
    received_ = received > 0 ? static_cast<unsigned>(received) : 0;
    return received_;
}

std::span<const std::uint8_t> PacketBatch::datagram(unsigned index) const
{
    const mmsghdr& message = incoming_[index];
    if (message.msg_hdr.msg_flags & MSG_TRUNC)
        return {};
    return { bytes_.data() + index * largestPacket, message.msg_len };
}

void PacketBatch::queue(std::span<const std::uint8_t> datagram, Endpoint destination)
{
    Outgoing& outgoing = nextOutgoing(destination);
    outgoing.parts[0] = { .iov_base = const_cast<std::uint8_t*>(datagram.data()), .iov_len = datagram.size() };
    outgoingHeads_[queued_ - 1].msg_hdr.msg_iovlen = 1;
}

void PacketBatch::queue(const ProxyHeader& header, std::span<const std::uint8_t> payload, Endpoint destination)
{
    Outgoing& outgoing = nextOutgoing(destination);
    outgoing.parts[0] = { .iov_base = outgoing.header.data(), .iov_len = encodeProxyHeader(header, outgoing.header) };
    outgoing.parts[1] = { .iov_base = const_cast<std::uint8_t*>(payload.data()), .iov_len = payload.size() };
    outgoingHeads_[queued_ - 1].msg_hdr.msg_iovlen = 2;
}

unsigned PacketBatch::send(int descriptor)
{
    unsigned refused = 0;
    unsigned next = 0;
    while (next < queued_) {
        const int sent = ::sendmmsg(descriptor, &outgoingHeads_[next], queued_ - next, 0);
        if (sent > 0) {
            next += static_cast<unsigned>(sent);
            continue;
        }
        // The error belongs to the first message. It is skipped, so that one destination that can't be reached doesn't
        // hold up the packets behind it.
        ++refused;
        ++next;
    }
    queued_ = 0;
    return refused;
}

unsigned PacketBatch::discard() { return std::exchange(queued_, 0); }

PacketBatch::Outgoing& PacketBatch::nextOutgoing(Endpoint destination)
{
    Outgoing& outgoing = outgoing_[queued_++];
    outgoing.destination = toSocketAddress(destination);
    return outgoing;
}

}
