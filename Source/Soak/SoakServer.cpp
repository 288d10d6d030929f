#include "Soak/SoakServer.h"

#include "Soak/SoakPacket.h"
#include "platform/PacketLayout.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace wisteriadock {

namespace {

    constexpr std::size_t answerBytes = 200;

    bool isBefore(const FlowEnds& a, const FlowEnds& b)
    {
        return std::tie(a.caller, a.route) < std::tie(b.caller, b.route);
    }

}

Result<std::unique_ptr<SoakServer>> SoakServer::open(
    boost::asio::io_context& context, RegisteredServer entry, std::uint16_t callerPort, const SoakServerEvents& events)
{
    std::unique_ptr<SoakServer> server(new SoakServer(std::move(entry), callerPort, events));
    BOOST_OUTCOME_TRY(socket,
        UdpSocket::bind(context, server->entry_.address,
            [target = server.get()](const Endpoint&, std::span<const std::uint8_t> bytes) { target->receive(bytes); }));
    server->socket_ = std::move(socket);
    return server;
}

SoakServer::SoakServer(RegisteredServer entry, std::uint16_t callerPort, const SoakServerEvents& events)
    : entry_(std::move(entry))
    , callerPort_(callerPort)
    , events_(events)
    , flows_(&isBefore)
{
}

bool SoakServer::hasOpenFlow(const FlowEnds& ends) const
{
    const auto entry = flows_.find(ends);
    return entry != flows_.end() && entry->second.isOpen;
}

void SoakServer::receive(std::span<const std::uint8_t> datagram)
{
    if (datagram.size() < platform::serverPrefixBytes)
        return events_.onCorruptedPacket(entry_);
    const auto own = platform::serverPrefix(entry_.number);
    // Ignores packets for an earlier server at this address.
    if (!std::equal(own.begin(), own.end(), datagram.begin()))
        return;
    const auto bytes = datagram.subspan(platform::serverPrefixBytes);
    const auto packet = platform::decodePacket(bytes);
    if (!packet || !hasValidChecksum(bytes))
        return events_.onCorruptedPacket(entry_);
    packet->opens ? handleOpening(*packet) : handleTraffic(*packet);
}

void SoakServer::handleOpening(const TokenPacket& packet)
{
    if (isFull_)
        return;
    const auto [entry, isNew] = flows_.try_emplace(packet.ends);
    Flow& flow = entry->second;
    if (isNew) {
        flow.ownSequence = nextSequence_ += 1000;
        flow.callerSequence = packet.sequence + 1;
        events_.onOpening(entry_, packet.ends);
    }
    flow.token = packet.token;
    TokenPacket answer;
    answer.opens = true;
    answer.sequence = flow.ownSequence;
    reply(packet.ends, flow, answer);
}

void SoakServer::handleTraffic(const TokenPacket& packet)
{
    const auto entry = flows_.find(packet.ends);
    if (entry == flows_.end()) {
        if (!packet.resets)
            reset(packet);
        return;
    }
    Flow& flow = entry->second;
    if (packet.token != 0)
        flow.token = packet.token;
    flow.isOpen = true;
    if (packet.finishes || packet.resets) {
        flows_.erase(entry);
        return;
    }
    if (packet.payloadBytes == 0)
        return;
    if (requestBehaviour_ == RequestBehaviour::Ignore)
        return;
    if (requestBehaviour_ == RequestBehaviour::Reset) {
        reset(packet);
        flows_.erase(entry);
        return;
    }
    // A retransmitted request gets the same answer again: the caller did not receive the first one.
    flow.callerSequence = std::max(flow.callerSequence, packet.sequence + packet.payloadBytes);
    TokenPacket answer;
    answer.acknowledges = true;
    answer.sequence = packet.acknowledgement;
    const std::array<std::uint8_t, answerBytes> body {};
    reply(packet.ends, flow, answer, body);
}

void SoakServer::reset(const TokenPacket& packet)
{
    TokenPacket answer;
    answer.resets = true;
    answer.sequence = packet.acknowledgement;
    reply(packet.ends, { 0, 0, packet.token, false }, answer);
}

void SoakServer::reply(
    const FlowEnds& ends, const Flow& flow, TokenPacket packet, std::span<const std::uint8_t> payload)
{
    packet.ends = { ends.route, ends.caller };
    packet.token = flow.token;
    packet.acknowledgement = flow.callerSequence;
    packet.acknowledges = !packet.resets;
    socket_->send({ ends.caller.address, callerPort_ }, encodeWithChecksum(packet, payload));
}

}
