#pragma once

#include "Balancer/Http2ClientPool.h"
#include "Balancer/RequestMessageCodec.h"
#include "Membership/Member.h"
#include "Net/Http2Server.h"
#include "Peers/PeerSocket.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace wisteriadock {

// The HTTP path at which a balancer accepts messages about requests that are too long for a datagram.
inline constexpr std::string_view longMessagePath = "/wisteriadock/request_message";

// Carries messages about requests between balancers: in a datagram, or by HTTP/2 when they don't fit one. Messages may
// get lost; the Request library repeats those that matter. RequestControl owns it. Everything runs on the thread of the
// io_context.
class RequestMessageTransport {
public:
    using Handler = std::function<void(const BalancerInstance& from, const BalancerMessage&)>;

    // The socket must outlive this object.
    RequestMessageTransport(
        boost::asio::io_context&, PeerSocket&, const BalancerInstance& self, const Http2Limits&, Handler);
    RequestMessageTransport(const RequestMessageTransport&) = delete;
    RequestMessageTransport& operator=(const RequestMessageTransport&) = delete;

    void applyMembers(std::shared_ptr<const MembersView>);
    // Sends nothing unless the receiver is a known member with this incarnation.
    void send(const BalancerInstance& to, const BalancerMessage&);

    void receive(const PeerEnvelope&);
    // Handles a message that arrived by HTTP/2 and answers the exchange.
    void receive(Http2Exchange&);

    // The member with this id and incarnation; null when there is none.
    const Member* find(const BalancerInstance&) const;
    const std::shared_ptr<const MembersView>& view() const { return view_; }
    // Bytes of message bodies sent and received by HTTP/2. PeerSocket counts the datagrams.
    std::uint64_t longMessageBytes() const { return longMessageBytes_; }
    std::uint64_t droppedMessages() const { return droppedMessages_; }

private:
    void sendLong(const Member& receiver, const std::vector<std::uint8_t>&);
    void handlePayload(const BalancerInstance& from, std::span<const std::uint8_t>);

    PeerSocket& socket_;
    BalancerInstance self_;
    Handler onMessage_;
    std::shared_ptr<const MembersView> view_ = std::make_shared<const MembersView>();
    std::uint64_t longMessageBytes_ = 0;
    std::uint64_t droppedMessages_ = 0;
    Http2ClientPool clients_;
};

}
