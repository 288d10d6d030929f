#pragma once

#include "FaultProxy/Channel.h"
#include "FaultProxy/Link.h"

#include <boost/asio/ip/udp.hpp>

#include <memory>
#include <unordered_map>

namespace wisteriadock {

// A link for datagrams. Each source gets a socket of its own towards the target, so that answers find their way back.
class UdpLink : public Link {
public:
    // Fails with Unavailable when the address can't be bound.
    static Result<std::unique_ptr<UdpLink>> open(boost::asio::io_context&, LinkOptions, const FaultRules&, Random&);
    ~UdpLink() override;

    Endpoint address() const override;
    void applyRules() override;

    // A further source takes the place of the one that was silent for longest.
    static constexpr std::size_t maxSessionCount = 1024;

private:
    class Session;

    UdpLink(boost::asio::io_context&, LinkOptions, const FaultRules&, Random&);

    void receive();
    void drainSocket();
    Session* sessionOf(const Endpoint& source);
    void evictLeastRecentSession();

    boost::asio::io_context& context_;
    boost::asio::ip::udp::socket socket_;
    std::unordered_map<Endpoint, std::shared_ptr<Session>> sessions_;
    std::uint64_t useCount_ = 0;
};

}
