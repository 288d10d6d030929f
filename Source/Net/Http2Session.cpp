#include "Net/Http2Session.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace wisteriadock {

namespace {

    constexpr std::size_t readBufferBytes = std::size_t(32) * 1024;
    constexpr std::size_t maxWriteBytes = std::size_t(64) * 1024;

    // Time that the peer has to close the connection after this side has shut down sending.
    constexpr std::chrono::seconds lingerTimeout { 1 };

    // TCP_USER_TIMEOUT: the time that sent data may stay unacknowledged, or unsent because the window of the peer is
    // full. Without it, new requests would use a connection to a dead VM for many minutes and end at their deadlines.
    constexpr unsigned userTimeoutMilliseconds = 5000;

    void configureSocket(boost::asio::ip::tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMilliseconds,
            sizeof userTimeoutMilliseconds);
    }

}

Http2Session::Http2Session(
    boost::asio::ip::tcp::socket socket, Http2Engine::Role role, const Http2Limits& limits, ByteCounter bytes)
    : socket_(std::move(socket))
    , lingerTimer_(socket_.get_executor())
    , limits_(limits)
    , bytes_(std::move(bytes))
    , engine_(role, limits, *this)
{
}

void Http2Session::begin()
{
    begun_ = true;
    configureSocket(socket_);
    input_.resize(readBufferBytes);
    read();
    scheduleFlush();
}

void Http2Session::abort(const std::string& reason)
{
    if (ended_)
        return;
    ended_ = true;
    lingerTimer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    onEnded(reason);
}

void Http2Session::read()
{
    socket_.async_read_some(boost::asio::buffer(input_),
        [self = shared_from_this()](
            const boost::system::error_code& error, std::size_t size) { self->onRead(error, size); });
}

void Http2Session::onRead(const boost::system::error_code& error, std::size_t size)
{
    if (ended_)
        return;
    if (error) {
        abort(lingering_ ? lingerReason_ : error.message());
        return;
    }
    *bytes_ += size;
    processInput({ input_.data(), size });
    if (!ended_)
        read();
}

void Http2Session::processInput(std::span<const std::uint8_t> bytes)
{
    const auto received = engine_.receive(bytes);
    onEngineIdle();
    // The engine must not be called again after it failed.
    if (!received)
        abort(received.error().detail);
    else
        scheduleFlush();
}

void Http2Session::scheduleFlush()
{
    if (!begun_ || flushScheduled_ || writing_ || ended_ || lingering_)
        return;
    flushScheduled_ = true;
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->flushScheduled_ = false;
        self->flush();
    });
}

void Http2Session::flush()
{
    if (writing_ || ended_ || lingering_)
        return;
    output_.clear();
    const auto produced = engine_.produceOutput(output_, maxWriteBytes);
    // Starts the write before onEngineIdle(), so that a request reported as sent has been handed to the socket.
    if (!output_.empty())
        write();
    onEngineIdle();
    if (ended_)
        return;
    if (!produced)
        linger(produced.error().detail);
    else if (!writing_ && !engine_.wantsConnection())
        linger("the connection was shut down");
}

void Http2Session::write()
{
    writing_ = true;
    boost::asio::async_write(socket_, boost::asio::buffer(output_),
        [self = shared_from_this()](
            const boost::system::error_code& error, std::size_t size) { self->onWritten(error, size); });
}

void Http2Session::onWritten(const boost::system::error_code& error, std::size_t size)
{
    writing_ = false;
    if (ended_)
        return;
    *bytes_ += size;
    // Keeps reading after a write error: the input may still hold complete responses or a GOAWAY.
    if (error)
        linger(error.message());
    else if (lingering_)
        linger(lingerReason_);
    else
        flush();
}

// Shuts down sending and reads until the peer closes the connection. Closing a socket with unread input would make the
// kernel discard output that the peer has not received yet, such as the end of a response.
void Http2Session::linger(const std::string& reason)
{
    if (!lingering_) {
        lingerReason_ = reason;
        lingerTimer_.expires_after(lingerTimeout);
        lingerTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error)
                self->abort(self->lingerReason_);
        });
    }
    lingering_ = true;
    if (writing_)
        return;
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
}

}
