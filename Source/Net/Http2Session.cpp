#include "Net/Http2Session.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace wisteriadock {

namespace {

    constexpr std::size_t readBufferBytes = std::size_t(32) * 1024;
    constexpr std::size_t maxWriteBytes = std::size_t(64) * 1024;

    // How long a connection that is done waits for the other side to close it.
    constexpr std::chrono::seconds lingerTimeout { 1 };

    // How long sent bytes may stay unacknowledged, or unread by a process whose window is full. Without it a connection
    // to a dead VM would take every new request for a quarter of an hour, and each would only end at its deadline.
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
    // Nothing that is still to come could be understood, and an engine that failed must not be fed again.
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
    // The write begins before anybody hears of it: whoever is told that a request left may rely on it.
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
    // What the other side sent before it closed is still to be read: it may hold whole answers or a refusal.
    if (error)
        linger(error.message());
    else if (lingering_)
        linger(lingerReason_);
    else
        flush();
}

// Closing a socket that has unread input makes the kernel throw away output that the other side has not got yet, such
// as the end of an answer. So only the sending half is closed, and the rest read until the other side closes too.
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
