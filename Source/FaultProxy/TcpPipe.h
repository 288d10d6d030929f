#pragma once

#include "FaultProxy/Channel.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace wisteriadock {

// Copies one direction of a TCP connection through a channel. It stops reading while too much waits, so that a hold
// pushes back on the sender as a real network would.
class TcpPipe : public std::enable_shared_from_this<TcpPipe> {
public:
    using Socket = boost::asio::ip::tcp::socket;

    // The owner holds the sockets; operations that are under way keep it alive. The callback runs when the pipe
    // finished or failed.
    static std::shared_ptr<TcpPipe> create(
        std::weak_ptr<void> owner, Socket& from, Socket& to, FaultCounters&, Random&, std::function<void()> onEnd);

    void start();
    // No socket is touched after this.
    void close();

    Channel& channel() { return *channel_; }
    // The sender closed its side and all it sent was written.
    bool finished() const { return finished_; }
    bool failed() const { return failed_; }

private:
    TcpPipe(std::weak_ptr<void> owner, Socket& from, Socket& to, std::function<void()> onEnd);

    void read();
    void deliver(Bytes);
    void write();
    void written(const boost::system::error_code&);
    void fail();

    static constexpr std::size_t readSize = 64 << 10;
    static constexpr std::size_t maxBacklogBytes = Channel::capacityBytes - readSize;

    std::weak_ptr<void> owner_;
    Socket& from_;
    Socket& to_;
    std::function<void()> onEnd_;
    std::shared_ptr<Channel> channel_;
    std::array<std::uint8_t, readSize> buffer_ {};
    // Due, and waiting for the socket. An empty unit stands for the end of the stream.
    std::deque<Bytes> writeQueue_;
    std::size_t writeQueueBytes_ = 0;
    bool reading_ = false;
    bool sourceEnded_ = false;
    bool finished_ = false;
    bool failed_ = false;
    bool closed_ = false;
};

}
