#pragma once

#include "FaultProxy/Link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <unordered_set>

namespace wisteriadock {

// A link for TCP connections. It opens one connection to the target for each connection that it accepts.
class TcpLink : public Link {
public:
    // Fails with Unavailable when the address can't be bound.
    static Result<std::unique_ptr<TcpLink>> open(boost::asio::io_context&, LinkOptions, const FaultRules&, Random&);
    ~TcpLink() override;

    Endpoint address() const override;
    void applyRules() override;

private:
    class Connection;

    TcpLink(boost::asio::io_context&, LinkOptions, const FaultRules&, Random&);

    void accept();
    void handleConnection(boost::asio::ip::tcp::socket);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::unordered_set<std::shared_ptr<Connection>> connections_;
};

}
