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

// Datagrams and their bytes, both ways.
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

// The datagrams between this balancer and the others: puts messages into envelopes and takes them out again. What they
// mean is the handler's business. Runs on the thread of the io_context.
class PeerSocket {
public:
    // An envelope of another balancer and the address that it came from.
    using Handler = std::function<void(const PeerEnvelope&, Endpoint sender)>;

    // Fails with Unavailable when the address can't be bound.
    static Result<std::unique_ptr<PeerSocket>> open(boost::asio::io_context&, Endpoint, Handler);
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    // A message that does not fit a datagram is dropped and counted, as the network may do with any other.
    void send(Endpoint, const PeerEnvelope&);

    Endpoint address() const { return socket_->address(); }
    std::uint64_t bytesTransferred() const { return socket_->bytesSent() + socket_->bytesReceived(); }
    const DatagramTraffic& trafficOf(PeerMessageKind kind) const { return traffic_[static_cast<std::size_t>(kind)]; }
    // Datagrams that were no envelope, in either direction.
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
