#pragma once

#include "FaultProxy/Channel.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace wisteriadock {

// Copies one direction of a TCP connection through a channel. It stops reading while maxBacklogBytes wait, so that flow
// control slows the sender down. TcpLink has two for each connection.
class TcpPipe : public std::enable_shared_from_this<TcpPipe> {
public:
    using Socket = boost::asio::ip::tcp::socket;

    // The owner holds the sockets and is kept alive by pending operations. The callback runs when the pipe has finished
    // or failed.
    static std::shared_ptr<TcpPipe> create(
        std::weak_ptr<void> owner, Socket& from, Socket& to, FaultCounters&, Random&, std::function<void()> onEnd);

    void start();
    // The sockets are not used after this call.
    void close();

    Channel& channel() { return *channel_; }
    // Whether the sender closed its side and everything it sent was written.
    bool finished() const { return finished_; }
    bool failed() const { return failed_; }

private:
    TcpPipe(std::weak_ptr<void> owner, Socket& from, Socket& to, std::function<void()> onEnd);

    void read();
    void deliver(Bytes);
    void write();
    void handleWrite(const boost::system::error_code&);
    void fail();

    static constexpr std::size_t readSize = 64 << 10;
    static constexpr std::size_t maxBacklogBytes = Channel::capacityBytes - readSize;

    std::weak_ptr<void> owner_;
    Socket& from_;
    Socket& to_;
    std::function<void()> onEnd_;
    std::shared_ptr<Channel> channel_;
    std::array<std::uint8_t, readSize> buffer_ {};
    // Units that are due and wait to be written. An empty unit marks the end of the stream.
    std::deque<Bytes> writeQueue_;
    std::size_t writeQueueBytes_ = 0;
    bool reading_ = false;
    bool sourceEnded_ = false;
    bool finished_ = false;
    bool failed_ = false;
    bool closed_ = false;
};

}
