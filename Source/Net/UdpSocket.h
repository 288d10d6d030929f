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

// The control thread's door for datagrams. Sending never waits: a datagram that the kernel won't take is dropped and
// counted, as the network itself may do. Not thread-safe: all calls and callbacks happen on the io_context's thread.
class UdpSocket {
public:
    // The bytes are the socket's own and only last for the call. The handler may destroy the socket.
    using Handler = std::function<void(const Endpoint& sender, std::span<const std::uint8_t> bytes)>;

    // The largest payload that fits an Ethernet frame whole.
    static constexpr std::size_t defaultMaxDatagramBytes = 1472;

    // Receives at once; a port of 0 takes an ephemeral one. Datagrams longer than `maxDatagramBytes` are dropped and
    // counted in both directions. Fails with Unavailable when the address can't be bound.
    static Result<std::unique_ptr<UdpSocket>> bind(
        boost::asio::io_context&, Endpoint, Handler, std::size_t maxDatagramBytes = defaultMaxDatagramBytes);
    ~UdpSocket();
    UdpSocket(const UdpSocket&) = delete;
    UdpSocket& operator=(const UdpSocket&) = delete;

    void send(const Endpoint& receiver, std::span<const std::uint8_t> bytes);

    Endpoint address() const;
    // Payload bytes.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;
    // Datagrams that were too long, or that the kernel refused to send.
    std::uint64_t datagramsDropped() const;

private:
    class Implementation;

    explicit UdpSocket(std::shared_ptr<Implementation>);

    std::shared_ptr<Implementation> implementation_;
};

}
