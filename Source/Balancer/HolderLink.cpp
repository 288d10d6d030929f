#include "Balancer/HolderLink.h"

#include "Balancer/HolderText.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr std::string_view senderHeader = "x-wisteriadock-sender";
    constexpr auto sendDeadline = 3000ms;

    std::span<const std::uint8_t> bytesOf(const std::string& text)
    {
        return { reinterpret_cast<const std::uint8_t*>(text.data()), text.size() };
    }

}

HolderLink::HolderLink(boost::asio::io_context& context, PeerSocket& link, const BalancerInstance& self,
    const Http2Limits& limits, Handler onMessage)
    : link_(link)
    , self_(self)
    , onMessage_(std::move(onMessage))
    , clients_(context, limits)
{
}

void HolderLink::applyMembers(std::shared_ptr<const MembersView> view)
{
    view_ = std::move(view);
    clients_.keepOnly([&](Endpoint address) {
        return std::ranges::any_of(
            view_->members, [&](const Member& member) { return member.requestAddress == address; });
    });
}

const Member* HolderLink::find(const BalancerInstance& holder) const
{
    const Member* member = view_->find(holder.id);
    return member && member->incarnation == holder.incarnation ? member : nullptr;
}

void HolderLink::send(const BalancerInstance& to, const BalancerMessage& message)
{
    const Member* receiver = find(to);
    if (!receiver || to == self_)
        return;
    std::vector<std::uint8_t> payload = encodeRequestMessage({ to.incarnation, message });
    if (payload.size() > maxPeerPayloadBytes) {
        sendLong(*receiver, payload);
        return;
    }
    link_.send(receiver->peerAddress,
        { .sender = self_.id,
            .senderIncarnation = self_.incarnation,
            .kind = PeerMessageKind::Request,
            .payload = std::move(payload) });
}

void HolderLink::sendLong(const Member& receiver, const std::vector<std::uint8_t>& payload)
{
    HttpRequest request;
    request.method = "POST";
    request.path = longMessagePath;
    request.authority = receiver.name;
    request.headers = { { std::string(senderHeader), writeHolder(self_) } };
    request.body.assign(payload.begin(), payload.end());
    longMessageBytes_ += payload.size();
    clients_.of(receiver.requestAddress).send(std::move(request), Clock::now() + sendDeadline, [](const HttpOutcome&) {
    });
}

void HolderLink::receive(const PeerEnvelope& envelope)
{
    take({ envelope.sender, envelope.senderIncarnation }, envelope.payload);
}

void HolderLink::receive(Http2Exchange& exchange)
{
    const auto sender = readHolder(exchange.request().header(senderHeader));
    longMessageBytes_ += exchange.request().body.size();
    if (sender)
        take(sender.value(), bytesOf(exchange.request().body));
    else
        ++droppedMessages_;
    exchange.respond({ .status = sender ? 204 : 400, .headers = {}, .body = {} });
}

// What an earlier start of the sender said is over, and what was meant for an earlier start of this balancer builds on
// claims that it has lost: acting on either would vouch for copies that are gone.
void HolderLink::take(const BalancerInstance& from, std::span<const std::uint8_t> payload)
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
