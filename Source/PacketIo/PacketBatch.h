#pragma once

#include "Core/Endpoint.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace wisteriadock {

// The largest datagram that the packet path forwards, headers included, in bytes.
inline constexpr std::size_t maxPacketBytes = 9216;

// The largest header that PacketBatch can put before the payload of a queued message, in bytes.
inline constexpr std::size_t maxPacketHeaderBytes = 64;

// Whether PacketBatch::receive() waits for the first datagram of a batch.
enum class PacketWait {
    ForOne, // Blocks until a datagram arrives or the socket's receive timeout expires.
    Never, // For sockets in an event loop.
};

// The buffers and kernel structures for receiving a batch of up to 64 datagrams and sending it on, each in one system
// call. Payloads are never copied: outgoing messages point into the receive buffers. Used by the packet workers of the
// balancer and by TokenPacketPath.
class PacketBatch {
public:
    // Datagrams longer than maxDatagramBytes are truncated by the kernel and reported as empty.
    explicit PacketBatch(PacketWait = PacketWait::ForOne, std::size_t maxDatagramBytes = maxPacketBytes);
    PacketBatch(const PacketBatch&) = delete;
    PacketBatch& operator=(const PacketBatch&) = delete;

    // Receives the available datagrams, replacing the former batch, and first waits for one as PacketWait says. Returns
    // their number; 0 when there was none or the socket's receive timeout expired.
    unsigned receive(int descriptor);
    unsigned size() const { return received_; }
    // Whether more datagrams may be waiting.
    bool isFull() const { return received_ == capacity; }
    // index must be below size(). Empty for a datagram that was longer than the buffer.
    std::span<const std::uint8_t> datagram(unsigned index) const;
    // The same, for changes in place before the datagram is queued.
    std::span<std::uint8_t> mutableDatagram(unsigned index);
    Endpoint sender(unsigned index) const;

    // Queues a datagram of this batch as it is, or a part of it after a header of at most maxPacketHeaderBytes, which
    // is copied. At most one message may be queued for each datagram.
    void queue(std::span<const std::uint8_t> datagram, Endpoint destination);
    void queue(std::span<const std::uint8_t> header, std::span<const std::uint8_t> payload, Endpoint destination);
    // Sends all queued messages. Returns the number of those that the kernel refused.
    unsigned send(int descriptor);
    // Drops all queued messages and returns their number.
    unsigned discard();

private:
    static constexpr std::size_t capacity = 64;

    struct Outgoing {
        sockaddr_in destination {};
        std::array<iovec, 2> parts {};
        std::array<std::uint8_t, maxPacketHeaderBytes> header {};
    };

    Outgoing& nextOutgoing(Endpoint destination);

    const PacketWait wait_;
    const std::size_t maxDatagramBytes_;
    unsigned received_ = 0;
    unsigned queued_ = 0;
    std::vector<std::uint8_t> bytes_;
    std::array<iovec, capacity> incomingParts_ {};
    std::array<mmsghdr, capacity> incoming_ {};
    std::array<sockaddr_in, capacity> senders_ {};
    std::array<Outgoing, capacity> outgoing_ {};
    std::array<mmsghdr, capacity> outgoingHeaders_ {};
};

}
