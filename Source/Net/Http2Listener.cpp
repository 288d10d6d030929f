#include "Net/Http2Listener.h"

#include "Net/AsioEndpoint.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <utility>

namespace wisteriadock {

namespace {

    // Delay after accepting failed, usually because the process is out of file descriptors. An immediate retry would
    // starve the connections whose closing frees descriptors.
    constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

}

Http2Listener::Http2Listener(boost::asio::io_context& context, Http2Server::Handler handler, const Http2Limits& limits)
    : context_(context)
    , handler_(std::move(handler))
    , limits_(limits)
    , acceptor_(context)
    , acceptTimer_(context)
{
}

Result<void> Http2Listener::listen(const Endpoint& endpoint)
{
    const auto address = toTcp(endpoint);
    boost::system::error_code error;
    acceptor_.open(address.protocol(), error);
    if (!error)
        acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(address, error);
    if (!error)
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    if (!error)
        address_ = fromAsio(acceptor_.local_endpoint(error));
    if (error)
        return Error { ErrorCode::Unavailable,
            fmt::format("can't listen on {}: {}", endpoint.toString(), error.message()) };
    accept();
    return boost::outcome_v2::success();
}

void Http2Listener::accept()
{
    acceptor_.async_accept([self = shared_from_this()](const boost::system::error_code& error,
                               boost::asio::ip::tcp::socket socket) { self->onAccepted(error, std::move(socket)); });
}

void Http2Listener::onAccepted(const boost::system::error_code& error, boost::asio::ip::tcp::socket socket)
{
    if (!acceptor_.is_open())
        return;
    if (error) {
        acceptLater();
        return;
    }
    startSession(std::move(socket));
    accept();
}

void Http2Listener::startSession(boost::asio::ip::tcp::socket socket)
{
    if (sessions_.size() >= limits_.connections) {
        ++protocolErrors_;
        return;
    }
    const auto session = std::make_shared<Http2ServerSession>(std::move(socket), limits_, bytes_, weak_from_this());
    sessions_.emplace(session.get(), session);
    session->start();
}

void Http2Listener::acceptLater()
{
    acceptTimer_.expires_after(acceptRetryDelay);
    acceptTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && self->acceptor_.is_open())
            self->accept();
    });
}

void Http2Listener::drain(std::function<void()> onDrained)
{
    onDrained_ = std::move(onDrained);
    acceptPending();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    acceptTimer_.cancel();
    for (const auto& [key, session] : sessions_)
        session->drain();
    notifyIfDrained();
}

// Accepts the connections in the kernel's queue. Closing the acceptor would reset them, and their clients could not
// tell whether the requests that they have sent were processed.
void Http2Listener::acceptPending()
{
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        boost::asio::ip::tcp::socket socket(context_);
        acceptor_.accept(socket, error);
        if (!error)
            startSession(std::move(socket));
    }
}

void Http2Listener::stop()
{
    stopped_ = true;
    onDrained_ = nullptr;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    acceptTimer_.cancel();
    for (const auto& [key, session] : std::exchange(sessions_, {}))
        session->discard();
}

std::size_t Http2Listener::openExchanges() const
{
    std::size_t count = 0;
    for (const auto& [key, session] : sessions_)
        count += session->openExchanges();
    return count;
}

void Http2Listener::onExchange(std::shared_ptr<Http2Exchange> exchange)
{
    if (!stopped_)
        handler_(std::move(exchange));
}

void Http2Listener::onSessionEnded(const Http2ServerSession& session)
{
    sessions_.erase(&session);
    notifyIfDrained();
}

void Http2Listener::notifyIfDrained()
{
    if (!onDrained_ || !sessions_.empty())
        return;
    boost::asio::post(context_, [self = shared_from_this()] {
        if (const auto onDrained = std::exchange(self->onDrained_, nullptr))
            onDrained();
    });
}

}
