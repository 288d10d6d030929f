#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace wisteriadock {

// A bound UDP socket that receives and sends datagrams in batches, with one system call for each batch. Datagrams that
// the kernel does not accept are dropped and counted.
// Not thread-safe: all calls and callbacks happen on the one thread that runs the io_context.
class DatagramSocket {
public:
    // The bytes of the datagram are valid only during the call.
    using Handler = std::function<void(std::span<const std::uint8_t>)>;
    // Runs after each batch of received datagrams.
    using BatchEndHandler = std::function<void()>;

    // Fails with Unavailable when the address can't be bound. Port 0 selects an ephemeral port.
    static Result<std::unique_ptr<DatagramSocket>> bind(boost::asio::io_context&, Endpoint);

    Endpoint address() const { return address_; }

    // Starts receiving. To be called once. The callbacks may send but must not destroy the socket.
    void receive(
        Handler, BatchEndHandler = [] {});

    // Adds a datagram to the batch, which is sent when it is full or at flush(). A datagram longer than
    // maxDatagramBytes is dropped and counted.
    void send(Endpoint destination, std::span<const std::uint8_t> header, std::span<const std::uint8_t> payload = {});
    void flush();

    // Datagrams dropped when sending.
    std::uint64_t sendDrops() const { return sendDrops_; }

private:
    // Datagrams in one system call.
    static constexpr std::size_t batchSize = 64;
    // Longer received datagrams are truncated and then fail to decode.
    static constexpr std::size_t maxDatagramBytes = 512;

    using Buffer = std::array<std::uint8_t, maxDatagramBytes>;

    struct Outgoing {
        Endpoint destination;
        std::size_t size = 0;
        Buffer bytes;
    };

    DatagramSocket(boost::asio::ip::udp::socket, Endpoint);
    void waitForDatagrams();
    bool receiveBatch();

    boost::asio::ip::udp::socket socket_;
    Endpoint address_;
    Handler handler_;
    BatchEndHandler batchEnd_;
    std::vector<Buffer> incoming_;
    std::vector<Outgoing> outgoing_;
    std::size_t outgoingCount_ = 0;
    std::uint64_t sendDrops_ = 0;
};

}
