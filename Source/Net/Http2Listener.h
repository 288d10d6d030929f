#pragma once

#include "Net/Http2Server.h"
#include "Net/Http2ServerSession.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace wisteriadock {

// Accepts the connections of one Http2Server and owns its sessions. It outlives the server if the server is destroyed
// from one of its own callbacks.
class Http2Listener final : public Http2ServerSession::Owner, public std::enable_shared_from_this<Http2Listener> {
public:
    Http2Listener(boost::asio::io_context&, Http2Server::Handler, const Http2Limits&);

    Result<void> listen(const Endpoint&);
    void drain(std::function<void()> onDrained);
    // Closes all connections immediately; no callback runs afterwards.
    void stop();

    Endpoint address() const { return address_; }
    std::size_t openExchanges() const;
    std::uint64_t bytesTransferred() const { return *bytes_; }
    std::uint64_t protocolErrors() const { return protocolErrors_; }

private:
    void onExchange(std::shared_ptr<Http2Exchange>) override;
    void onProtocolError() override { ++protocolErrors_; }
    void onSessionEnded(const Http2ServerSession&) override;

    void accept();
    void onAccepted(const boost::system::error_code&, boost::asio::ip::tcp::socket);
    void acceptLater();
    void startSession(boost::asio::ip::tcp::socket);
    void acceptPending();
    void notifyIfDrained();

    boost::asio::io_context& context_;
    Http2Server::Handler handler_;
    Http2Limits limits_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptTimer_;
    Endpoint address_;
    std::shared_ptr<std::uint64_t> bytes_ = std::make_shared<std::uint64_t>(0);
    std::uint64_t protocolErrors_ = 0;
    std::unordered_map<const Http2ServerSession*, std::shared_ptr<Http2ServerSession>> sessions_;
    std::function<void()> onDrained_;
    bool stopped_ = false;
};

}
