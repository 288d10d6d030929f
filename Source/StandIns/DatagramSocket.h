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

// A bound UDP socket that moves datagrams in batches, one system call for many. Datagrams that the kernel has no room
// for are counted and dropped, as on any network.
// Not thread-safe: all calls and callbacks happen on the one thread that runs the io_context.
class DatagramSocket {
public:
    // The datagram's bytes are valid during the call only.
    using Handler = std::function<void(std::span<const std::uint8_t>)>;
    // Runs after each batch of received datagrams.
    using BatchEndHandler = std::function<void()>;

    // Fails with Unavailable when the address can't be bound; a port of 0 takes an ephemeral one.
    static Result<std::unique_ptr<DatagramSocket>> bind(boost::asio::io_context&, Endpoint);

    Endpoint address() const { return address_; }

    // Starts receiving; to be called once. The callbacks may send, but not destroy the socket.
    void receive(
        Handler, BatchEndHandler = [] {});

    // Puts a datagram into the batch, which leaves when it is full or at flush().
    void send(Endpoint destination, std::span<const std::uint8_t> header, std::span<const std::uint8_t> payload = {});
    void flush();

    std::uint64_t sendDrops() const { return sendDrops_; }

private:
    static constexpr std::size_t batchSize = 64;
    // Longer datagrams are cut to this and then fail to decode.
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
