#include "Balancer/RequestMessageTransport.h"

#include "Balancer/BalancerInstanceText.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr std::string_view senderHeader = "x-wisteriadock-sender";
    constexpr auto sendTimeout = 3000ms;

    std::span<const std::uint8_t> bytesOf(const std::string& text)
    {
        return { reinterpret_cast<const std::uint8_t*>(text.data()), text.size() };
    }

}

RequestMessageTransport::RequestMessageTransport(boost::asio::io_context& context, PeerSocket& socket,
    const BalancerInstance& self, const Http2Limits& limits, Handler onMessage)
    : socket_(socket)
    , self_(self)
    , onMessage_(std::move(onMessage))
    , clients_(context, limits)
{
}

void RequestMessageTransport::applyMembers(std::shared_ptr<const MembersView> view)
{
    view_ = std::move(view);
    clients_.keepOnly([&](Endpoint address) {
        return std::ranges::any_of(
            view_->members, [&](const Member& member) { return member.requestAddress == address; });
    });
}

const Member* RequestMessageTransport::find(const BalancerInstance& instance) const
{
    const Member* member = view_->find(instance.id);
    return member && member->incarnation == instance.incarnation ? member : nullptr;
}

void RequestMessageTransport::send(const BalancerInstance& to, const BalancerMessage& message)
{
    const Member* receiver = find(to);
    if (!receiver || to == self_)
        return;
    std::vector<std::uint8_t> payload = encodeRequestMessage({ to.incarnation, message });
    if (payload.size() > maxPeerPayloadBytes) {
        sendLong(*receiver, payload);
        return;
    }
    socket_.send(receiver->peerAddress,
        { .sender = self_.id,
            .senderIncarnation = self_.incarnation,
            .kind = PeerMessageKind::Request,
            .payload = std::move(payload) });
}

void RequestMessageTransport::sendLong(const Member& receiver, const std::vector<std::uint8_t>& payload)
{
    HttpRequest request;
    request.method = "POST";
    request.path = longMessagePath;
    request.authority = receiver.name;
    request.headers = { { std::string(senderHeader), writeInstance(self_) } };
    request.body.assign(payload.begin(), payload.end());
    longMessageBytes_ += payload.size();
    clients_.clientOf(receiver.requestAddress)
        .send(std::move(request), Clock::now() + sendTimeout, [](const HttpOutcome&) {});
}

void RequestMessageTransport::receive(const PeerEnvelope& envelope)
{
    handlePayload({ envelope.sender, envelope.senderIncarnation }, envelope.payload);
}

void RequestMessageTransport::receive(Http2Exchange& exchange)
{
    const auto sender = readInstance(exchange.request().header(senderHeader));
    longMessageBytes_ += exchange.request().body.size();
    if (sender)
        handlePayload(sender.value(), bytesOf(exchange.request().body));
    else
        ++droppedMessages_;
    exchange.respond({ .status = sender ? 204 : 400, .headers = {}, .body = {} });
}

// Drops messages from an earlier incarnation of the sender or to an earlier incarnation of this balancer. They refer to
// claims that are lost, and handling them could confirm copies that no longer exist.
void RequestMessageTransport::handlePayload(const BalancerInstance& from, std::span<const std::uint8_t> payload)
{
    const Member* sender = view_->find(from.id);
    const bool isCurrent = sender && from.id != self_.id && from.incarnation >= sender->incarnation;
    const auto addressed = decodeRequestMessage(payload);
    if (!isCurrent || !addressed || addressed.value().receiverIncarnation != self_.incarnation) {
        ++droppedMessages_;
        return;
    }
    onMessage_(from, addressed.value().message);
}

}
