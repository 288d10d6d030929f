#include "Peers/PeerSocket.h"

namespace wisteriadock {

Result<std::unique_ptr<PeerSocket>> PeerSocket::open(
    boost::asio::io_context& context, Endpoint endpoint, Handler handler)
{
    std::unique_ptr<PeerSocket> link(new PeerSocket(std::move(handler)));
    const auto onDatagram = [target = link.get()](const Endpoint& sender, std::span<const std::uint8_t> datagram) {
        target->receive(sender, datagram);
    };
    BOOST_OUTCOME_TRY(socket, UdpSocket::bind(context, endpoint, onDatagram, maxPeerDatagramBytes));
    link->socket_ = std::move(socket);
    return link;
}

PeerSocket::PeerSocket(Handler handler)
    : handler_(std::move(handler))
{
}

void PeerSocket::send(Endpoint receiver, const PeerEnvelope& envelope)
{
    const auto datagram = encodePeerEnvelope(envelope);
    if (!datagram) {
        ++malformed_;
        return;
    }
    DatagramTraffic& traffic = traffic_[static_cast<std::size_t>(envelope.kind)];
    ++traffic.sent;
    traffic.sentBytes += datagram.value().size();
    socket_->send(receiver, datagram.value());
}

void PeerSocket::receive(Endpoint sender, std::span<const std::uint8_t> datagram)
{
    const auto envelope = decodePeerEnvelope(datagram);
    if (!envelope) {
        ++malformed_;
        return;
    }
    DatagramTraffic& traffic = traffic_[static_cast<std::size_t>(envelope.value().kind)];
    ++traffic.received;
    traffic.receivedBytes += datagram.size();
    handler_(envelope.value(), sender);
}

}
