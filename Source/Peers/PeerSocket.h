#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Net/UdpSocket.h"
#include "Wire/PeerMessage.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

namespace wisteriadock {

// Counts datagrams and their bytes in both directions.
struct DatagramTraffic {
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;

    DatagramTraffic& operator+=(const DatagramTraffic& other)
    {
        sent += other.sent;
        sentBytes += other.sentBytes;
        received += other.received;
        receivedBytes += other.receivedBytes;
        return *this;
    }
};

// The UDP socket for messages between this balancer and the others: encodes and decodes their envelopes and counts the
// traffic. The handler interprets the messages. Runs on the thread of the io_context.
class PeerSocket {
public:
    // Called with each envelope received and the address of its sender.
    using Handler = std::function<void(const PeerEnvelope&, Endpoint sender)>;

    // Fails with Unavailable when the address can't be bound.
    static Result<std::unique_ptr<PeerSocket>> open(boost::asio::io_context&, Endpoint, Handler);
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    // A message that does not fit into a datagram is dropped and counted in malformed().
    void send(Endpoint, const PeerEnvelope&);

    Endpoint address() const { return socket_->address(); }
    std::uint64_t bytesTransferred() const { return socket_->bytesSent() + socket_->bytesReceived(); }
    const DatagramTraffic& trafficOf(PeerMessageKind kind) const { return traffic_[static_cast<std::size_t>(kind)]; }
    // Envelopes that could not be encoded, and received datagrams that could not be decoded.
    std::uint64_t malformed() const { return malformed_; }

private:
    explicit PeerSocket(Handler);

    void receive(Endpoint sender, std::span<const std::uint8_t> datagram);

    Handler handler_;
    std::uint64_t malformed_ = 0;
    std::array<DatagramTraffic, peerMessageKinds> traffic_ {};
    std::unique_ptr<UdpSocket> socket_;
};

}
