#pragma once

#include "Balancer/Http2ClientPool.h"
#include "Balancer/RequestMessageCodec.h"
#include "Membership/Member.h"
#include "Net/Http2Server.h"
#include "Peers/PeerLink.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace wisteriadock {

// The path under which a balancer takes messages about requests that are too long for a datagram.
inline constexpr std::string_view longMessagePath = "/wisteriadock/request_message";

// Carries messages about requests between balancers: by datagram, or by HTTP/2 when they don't fit one. Either may lose
// them; the Request library sends again what matters. Everything runs on the thread of the io_context.
class RequestMessageTransport {
public:
    using Handler = std::function<void(const BalancerInstance& from, const BalancerMessage&)>;

    // The link outlives this object.
    RequestMessageTransport(
        boost::asio::io_context&, PeerLink&, const BalancerInstance& self, const Http2Limits&, Handler);
    RequestMessageTransport(const RequestMessageTransport&) = delete;
    RequestMessageTransport& operator=(const RequestMessageTransport&) = delete;

    void applyMembers(std::shared_ptr<const MembersView>);
    // To nobody when that start of the balancer is over, or not known yet.
    void send(const BalancerInstance& to, const BalancerMessage&);

    void receive(const PeerEnvelope&);
    // Takes a message that came by HTTP/2.
    void receive(Http2Exchange&);

    // The member that is this holder now; null when there is none.
    const Member* find(const BalancerInstance&) const;
    const std::shared_ptr<const MembersView>& view() const { return view_; }
    // By HTTP/2, bodies of both directions; datagrams are counted by the PeerLink.
    std::uint64_t longMessageBytes() const { return longMessageBytes_; }
    std::uint64_t droppedMessages() const { return droppedMessages_; }

private:
    void sendLong(const Member& receiver, const std::vector<std::uint8_t>&);
    void handlePayload(const BalancerInstance& from, std::span<const std::uint8_t>);

    PeerLink& socket_;
    BalancerInstance self_;
    Handler onMessage_;
    std::shared_ptr<const MembersView> view_ = std::make_shared<const MembersView>();
    std::uint64_t longMessageBytes_ = 0;
    std::uint64_t droppedMessages_ = 0;
    Http2ClientPool clients_;
};

}
