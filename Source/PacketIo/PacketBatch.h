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

// The largest datagram that the packet path passes on, headers included.
inline constexpr std::size_t maxPacketBytes = 9216;

// The most that a queued message may carry before its payload.
inline constexpr std::size_t maxPacketHeaderBytes = 64;

// Whether receiving waits for the first datagram of a batch.
enum class PacketWait {
    ForOne,
    Never, // For sockets that an event loop watches.
};

// The buffers and kernel structures for receiving a batch of datagrams and sending it on, each in one system call.
// Payloads are never copied: outgoing messages point into the buffers they arrived in.
class PacketBatch {
public:
    // Longer datagrams than maxDatagramBytes are cut and come out empty.
    explicit PacketBatch(PacketWait = PacketWait::ForOne, std::size_t maxDatagramBytes = maxPacketBytes);
    PacketBatch(const PacketBatch&) = delete;
    PacketBatch& operator=(const PacketBatch&) = delete;

    // Takes the datagrams that are there, replacing the former batch, and waits for one if it shall. Returns their
    // number; 0 when there was none, or the socket's time limit passed.
    unsigned receive(int descriptor);
    unsigned size() const { return received_; }
    // The datagram at an index below size(); empty for one that was longer than the buffer.
    std::span<const std::uint8_t> datagram(unsigned index) const;
    // The same for changing it in place before it is queued.
    std::span<std::uint8_t> mutableDatagram(unsigned index);
    Endpoint sender(unsigned index) const;

    // Queues a datagram of this batch as it is, or a part of it behind a header of at most maxPacketHeaderBytes bytes,
    // which is copied. At most one message a datagram.
    void queue(std::span<const std::uint8_t> datagram, Endpoint destination);
    void queue(std::span<const std::uint8_t> header, std::span<const std::uint8_t> payload, Endpoint destination);
    // Sends all that was queued. Returns the number of messages that the kernel refused.
    unsigned send(int descriptor);
    // Drops all that was queued, and returns how many messages that were.
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
