#pragma once

#include "Net/Http2Engine.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace wisteriadock {

// One HTTP/2 connection: pumps an Http2Engine over a socket. The client's and the server's sessions derive from it and
// act on its events. It lives as long as it has work on its socket, and tells its end once by onEnded().
class Http2Session : public std::enable_shared_from_this<Http2Session>, protected Http2Events {
public:
    // Counts the bytes of all connections of one client or server.
    using ByteCounter = std::shared_ptr<std::uint64_t>;

    ~Http2Session() override = default;
    Http2Session(const Http2Session&) = delete;
    Http2Session& operator=(const Http2Session&) = delete;

    // Closes the socket at once; onEnded() still runs unless the session has ended already.
    void abort(const std::string& reason);

protected:
    Http2Session(boost::asio::ip::tcp::socket, Http2Engine::Role, const Http2Limits&, ByteCounter);

    // Begins to read and write; call it once, when the socket is connected.
    void begin();
    // Writes what the engine holds, soon: what is queued until then leaves in one write.
    void scheduleFlush();

    Http2Engine& engine() { return engine_; }
    const Http2Engine& engine() const { return engine_; }
    const Http2Limits& limits() const { return limits_; }
    boost::asio::ip::tcp::socket& socket() { return socket_; }
    // False once the connection is on its way down: nothing that is queued now would leave.
    bool canWrite() const { return !ended_ && !lingering_; }

    // The connection is over, for good. No event follows.
    virtual void onEnded(const std::string& reason) = 0;
    // The engine has just read input or made output, and may be used without restraint.
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
