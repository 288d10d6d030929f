#pragma once

#include "FaultProxy/Channel.h"
#include "FaultProxy/Link.h"

#include <boost/asio/ip/udp.hpp>

#include <memory>
#include <unordered_map>

namespace wisteriadock {

// A link for UDP datagrams. Each source has a session with its own socket to the target, so that replies can be
// returned to that source.
class UdpLink : public Link {
public:
    // Fails with Unavailable when the address can't be bound.
    static Result<std::unique_ptr<UdpLink>> open(boost::asio::io_context&, LinkOptions, const FaultRules&, Random&);
    ~UdpLink() override;

    Endpoint address() const override;
    void applyRules() override;

    // Above this number of sessions, a new source replaces the least recently used one.
    static constexpr std::size_t maxSessionCount = 1024;

private:
    class Session;

    UdpLink(boost::asio::io_context&, LinkOptions, const FaultRules&, Random&);

    void receive();
    void drainSocket();
    Session* findOrOpenSession(const Endpoint& source);
    void evictLeastRecentSession();

    boost::asio::io_context& context_;
    boost::asio::ip::udp::socket socket_;
    std::unordered_map<Endpoint, std::shared_ptr<Session>> sessions_;
    std::uint64_t useCount_ = 0;
};

}
