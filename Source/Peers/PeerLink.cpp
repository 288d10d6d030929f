#include "Peers/PeerLink.h"

namespace wisteriadock {

Result<std::unique_ptr<PeerLink>> PeerLink::open(boost::asio::io_context& context, Endpoint endpoint, Handler handler)
{
    std::unique_ptr<PeerLink> link(new PeerLink(std::move(handler)));
    const auto onDatagram = [target = link.get()](const Endpoint& sender, std::span<const std::uint8_t> datagram) {
        target->receive(sender, datagram);
    };
    BOOST_OUTCOME_TRY(socket, UdpSocket::bind(context, endpoint, onDatagram, largestPeerDatagram));
    link->socket_ = std::move(socket);
    return link;
}

PeerLink::PeerLink(Handler handler)
    : handler_(std::move(handler))
{
}

void PeerLink::send(Endpoint receiver, const PeerEnvelope& envelope)
{
    if (const auto datagram = encodePeerEnvelope(envelope))
        socket_->send(receiver, datagram.value());
    else
        ++malformed_;
}

void PeerLink::receive(Endpoint sender, std::span<const std::uint8_t> datagram)
{
    if (const auto envelope = decodePeerEnvelope(datagram))
        handler_(envelope.value(), sender);
    else
        ++malformed_;
}

}
