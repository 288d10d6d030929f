#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

namespace wisteriadock {

// A bound UDP socket for control traffic. Sending never blocks: a datagram that the kernel rejects is dropped and
// counted. Not thread-safe: all calls and callbacks happen on the thread of the io_context.
class UdpSocket {
public:
    // Receives each datagram. `bytes` is valid only during the call. The handler may destroy the socket.
    using Handler = std::function<void(const Endpoint& sender, std::span<const std::uint8_t> bytes)>;

    // The largest UDP payload that fits into one Ethernet frame without fragmentation.
    static constexpr std::size_t defaultMaxDatagramBytes = 1472;

    // Binds the socket and starts receiving. Port 0 selects an ephemeral port. Datagrams longer than `maxDatagramBytes`
    // are dropped and counted in both directions. Fails with ErrorCode::Unavailable if the address can't be bound.
    static Result<std::unique_ptr<UdpSocket>> bind(
        boost::asio::io_context&, Endpoint, Handler, std::size_t maxDatagramBytes = defaultMaxDatagramBytes);
    ~UdpSocket();
    UdpSocket(const UdpSocket&) = delete;
    UdpSocket& operator=(const UdpSocket&) = delete;

    void send(const Endpoint& receiver, std::span<const std::uint8_t> bytes);

    Endpoint address() const;
    // UDP payload bytes.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;
    // Datagrams that were too long, or that the kernel rejected.
    std::uint64_t datagramsDropped() const;

private:
    class Implementation;

    explicit UdpSocket(std::shared_ptr<Implementation>);

    std::shared_ptr<Implementation> implementation_;
};

}
