#pragma once

#include "Core/Endpoint.h"
#include "Wire/ProxyHeader.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace wisteriadock {

// The largest datagram that the packet path passes on, PROXY header included.
inline constexpr std::size_t largestPacket = 9216;

// The buffers and kernel structures for receiving a batch of datagrams and sending it on, each in one system call.
// Payloads are never copied: outgoing messages point into the buffers they arrived in.
class PacketBatch {
public:
    PacketBatch();
    PacketBatch(const PacketBatch&) = delete;
    PacketBatch& operator=(const PacketBatch&) = delete;

    // Waits for a datagram and takes those that are there, replacing the former batch. Returns their number; 0 when
    // the socket's time limit passed.
    unsigned receive(int descriptor);
    unsigned size() const { return received_; }
    // The datagram at an index below size(); empty for one that was longer than the buffer.
    std::span<const std::uint8_t> datagram(unsigned index) const;

    // Queues a datagram of this batch as it is, or its payload under another header. At most one message a datagram.
    void queue(std::span<const std::uint8_t> datagram, Endpoint destination);
    void queue(const ProxyHeader&, std::span<const std::uint8_t> payload, Endpoint destination);
    // Sends all that was queued. Returns the number of messages that the kernel refused.
    unsigned send(int descriptor);
    // Drops all that was queued, and returns how many messages that were.
    unsigned discard();

private:
    static constexpr std::size_t capacity = 64;

    struct Outgoing {
        sockaddr_in destination {};
        std::array<iovec, 2> parts {};
        std::array<std::uint8_t, largestProxyHeader> header {};
    };

    Outgoing& nextOutgoing(Endpoint destination);

    unsigned received_ = 0;
    unsigned queued_ = 0;
    std::vector<std::uint8_t> bytes_;
    std::array<iovec, capacity> incomingParts_ {};
    std::array<mmsghdr, capacity> incoming_ {};
    std::array<Outgoing, capacity> outgoing_ {};
    std::array<mmsghdr, capacity> outgoingHeads_ {};
};

}
