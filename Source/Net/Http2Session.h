#pragma once

#include "Net/Http2Engine.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace wisteriadock {

// One HTTP/2 connection: transfers bytes between an Http2Engine and a socket. Http2ClientSession and Http2ServerSession
// derive from it and handle the events. Pending socket operations keep it alive. onEnded() is called once.
class Http2Session : public std::enable_shared_from_this<Http2Session>, protected Http2Events {
public:
    // Counts the TCP payload bytes of all connections of one client or server, in both directions.
    using ByteCounter = std::shared_ptr<std::uint64_t>;

    ~Http2Session() override = default;
    Http2Session(const Http2Session&) = delete;
    Http2Session& operator=(const Http2Session&) = delete;

    // Closes the socket immediately and calls onEnded(), unless the session has already ended.
    void abort(const std::string& reason);

protected:
    Http2Session(boost::asio::ip::tcp::socket, Http2Engine::Role, const Http2Limits&, ByteCounter);

    // Starts reading and writing. Call it once, after the socket is connected.
    void begin();
    // Posts a write of the engine's pending output, so that frames queued until then share one write.
    void scheduleFlush();

    Http2Engine& engine() { return engine_; }
    const Http2Engine& engine() const { return engine_; }
    const Http2Limits& limits() const { return limits_; }
    boost::asio::ip::tcp::socket& socket() { return socket_; }
    // False once the connection is closing and no further output will be sent.
    bool canWrite() const { return !ended_ && !lingering_; }

    // The connection has closed. No event follows.
    virtual void onEnded(const std::string& reason) = 0;
    // The engine has finished processing input or producing output; all its functions may be called.
    virtual void onEngineIdle() { }

private:
    void read();
    void onRead(const boost::system::error_code&, std::size_t size);
    void processInput(std::span<const std::uint8_t> bytes);
    void flush();
    void write();
    void onWritten(const boost::system::error_code&, std::size_t size);
    void linger(const std::string& reason);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer lingerTimer_;
    Http2Limits limits_;
    ByteCounter bytes_;
    Http2Engine engine_;
    std::vector<std::uint8_t> input_;
    std::vector<std::uint8_t> output_;
    std::string lingerReason_;
    bool begun_ = false;
    bool flushScheduled_ = false;
    bool writing_ = false;
    bool lingering_ = false;
    bool ended_ = false;
};

}
