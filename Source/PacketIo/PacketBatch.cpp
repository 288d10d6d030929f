#include "PacketIo/PacketBatch.h"

#include "PacketIo/SocketAddress.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

PacketBatch::PacketBatch(PacketWait wait, std::size_t maxDatagramBytes)
    : wait_(wait)
    , maxDatagramBytes_(maxDatagramBytes)
    , bytes_(capacity * maxDatagramBytes)
{
    for (std::size_t i = 0; i < capacity; ++i) {
        incomingParts_[i] = { .iov_base = bytes_.data() + i * maxDatagramBytes, .iov_len = maxDatagramBytes };
        incoming_[i].msg_hdr.msg_iov = &incomingParts_[i];
        incoming_[i].msg_hdr.msg_iovlen = 1;
        incoming_[i].msg_hdr.msg_name = &senders_[i];
        incoming_[i].msg_hdr.msg_namelen = sizeof(senders_[i]);

        Outgoing& outgoing = outgoing_[i];
        msghdr& header = outgoingHeaders_[i].msg_hdr;
        header.msg_name = &outgoing.destination;
        header.msg_namelen = sizeof(outgoing.destination);
        header.msg_iov = outgoing.parts.data();
    }
}

unsigned PacketBatch::receive(int descriptor)
{
    queued_ = 0;
    const int flags = wait_ == PacketWait::ForOne ? MSG_WAITFORONE : MSG_DONTWAIT;
    const int received = ::recvmmsg(descriptor, incoming_.data(), capacity, flags, nullptr);
    received_ = received > 0 ? static_cast<unsigned>(received) : 0;
    return received_;
}

std::span<const std::uint8_t> PacketBatch::datagram(unsigned index) const
{
    const mmsghdr& message = incoming_[index];
    if (message.msg_hdr.msg_flags & MSG_TRUNC)
        return {};
    return { bytes_.data() + index * maxDatagramBytes_, message.msg_len };
}

std::span<std::uint8_t> PacketBatch::mutableDatagram(unsigned index)
{
    const std::span<const std::uint8_t> bytes = datagram(index);
    return { bytes_.data() + index * maxDatagramBytes_, bytes.size() };
}

Endpoint PacketBatch::sender(unsigned index) const { return toEndpoint(senders_[index]); }

void PacketBatch::queue(std::span<const std::uint8_t> datagram, Endpoint destination)
{
    Outgoing& outgoing = nextOutgoing(destination);
    outgoing.parts[0] = { .iov_base = const_cast<std::uint8_t*>(datagram.data()), .iov_len = datagram.size() };
    outgoingHeaders_[queued_ - 1].msg_hdr.msg_iovlen = 1;
}

void PacketBatch::queue(
    std::span<const std::uint8_t> header, std::span<const std::uint8_t> payload, Endpoint destination)
{
    Outgoing& outgoing = nextOutgoing(destination);
    std::copy(header.begin(), header.end(), outgoing.header.begin());
    outgoing.parts[0] = { .iov_base = outgoing.header.data(), .iov_len = header.size() };
    outgoing.parts[1] = { .iov_base = const_cast<std::uint8_t*>(payload.data()), .iov_len = payload.size() };
    outgoingHeaders_[queued_ - 1].msg_hdr.msg_iovlen = 2;
}

unsigned PacketBatch::send(int descriptor)
{
    unsigned refused = 0;
    unsigned next = 0;
    while (next < queued_) {
        const int sent = ::sendmmsg(descriptor, &outgoingHeaders_[next], queued_ - next, 0);
        if (sent > 0) {
            next += static_cast<unsigned>(sent);
            continue;
        }
        // The error belongs to the first message. Skip it, so that an unreachable destination does not block the rest.
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
