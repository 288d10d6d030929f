#include "Soak/SoakCallers.h"

#include "Soak/SoakPacket.h"
#include "platform/PacketLayout.h"

#include <algorithm>
#include <array>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t requestBytes = 100;
    constexpr auto secondCopyDelay = 400ms;
    constexpr auto firstCopyDelay = 200ms;
    constexpr auto openingTimeout = 800ms;
    constexpr auto maxRetransmitInterval = 1600ms;
    constexpr auto requestTimeout = 3000ms;
    constexpr auto thinkTime = 300ms;
    constexpr std::uint32_t requestsPerLongFlow = 40;
    constexpr std::uint64_t flowsPerRemovedRouteUse = 10;

}

Result<std::unique_ptr<SoakCallers>> SoakCallers::open(
    boost::asio::io_context& context, Endpoint own, std::uint64_t seed, const SoakCallerEvents& events)
{
    std::unique_ptr<SoakCallers> callers(new SoakCallers(own, seed, events));
    BOOST_OUTCOME_TRY(socket,
        UdpSocket::bind(context, own, [target = callers.get()](const Endpoint&, std::span<const std::uint8_t> bytes) {
            target->receive(bytes);
        }));
    callers->socket_ = std::move(socket);
    return callers;
}

SoakCallers::SoakCallers(Endpoint own, std::uint64_t seed, const SoakCallerEvents& events)
    : own_(own)
    , random_(seed)
    , events_(events)
{
}

void SoakCallers::openFlows(std::size_t count, TimePoint now)
{
    for (std::size_t i = 0; i < count && !routes_.empty(); ++i) {
        // A port is used once per run, so that late packets of one flow never belong to another.
        if (nextPort_ == 0)
            return;
        const std::uint16_t port = nextPort_++;
        Flow& flow = flows_[port];
        const bool usesRemovedRoute = !removedRoutes_.empty() && random_.next() % flowsPerRemovedRouteUse == 0;
        const std::vector<Endpoint>& routes = usesRemovedRoute ? removedRoutes_ : routes_;
        flow.ends = { { own_.address, port }, routes[random_.next() % routes.size()] };
        flow.isLong = random_.next() % 2 == 0;
        flow.requestsLeft = flow.isLong ? requestsPerLongFlow : 1;
        // Low enough that sequence numbers never wrap around, which the stand-ins do not support.
        flow.sequence = static_cast<std::uint32_t>(random_.next() & 0x0FFFFFFF);
        flow.requestedAt = now;
        sendOpening(flow, now);
    }
}

const SoakCallers::Opening* SoakCallers::openingOf(const FlowEnds& ends) const
{
    const auto found = flows_.find(ends.caller.port);
    return found == flows_.end() ? nullptr : &found->second.opening;
}

void SoakCallers::tick(TimePoint now)
{
    std::vector<std::uint16_t> failed;
    for (auto& [port, flow] : flows_) {
        if (now < flow.nextActionAt)
            continue;
        if (flow.state == State::Idle) {
            startRequest(flow, now);
        } else if (flow.state == State::Opening) {
            if (flow.copies == 2)
                failed.push_back(port);
            else
                ++flow.copies, sendOpening(flow, now);
        } else if (now - flow.requestedAt > requestTimeout) {
            failed.push_back(port);
        } else {
            flow.retransmitInterval
                = std::min<std::chrono::milliseconds>(2 * flow.retransmitInterval, maxRetransmitInterval);
            flow.nextActionAt = now + flow.retransmitInterval;
            sendRequest(flow);
        }
    }
    for (const std::uint16_t port : failed)
        endFlow(port, true);
}

void SoakCallers::sendOpening(Flow& flow, TimePoint now)
{
    constexpr std::array<std::chrono::milliseconds, 3> waits { firstCopyDelay, secondCopyDelay, openingTimeout };
    flow.nextActionAt = now + waits[flow.copies];
    TokenPacket packet;
    packet.opens = true;
    packet.sequence = flow.sequence;
    packet.acknowledgement = flow.copies;
    send(flow, packet, 0);
    flow.opening = { now, flow.lastBalancer };
}

void SoakCallers::startRequest(Flow& flow, TimePoint now)
{
    flow.state = State::AwaitingResponse;
    flow.requestedAt = now;
    flow.retransmitInterval = firstCopyDelay;
    flow.nextActionAt = now + flow.retransmitInterval;
    sendRequest(flow);
}

void SoakCallers::sendRequest(Flow& flow)
{
    TokenPacket packet;
    packet.acknowledges = true;
    packet.token = flow.token;
    packet.sequence = flow.sequence;
    packet.acknowledgement = flow.acknowledgement;
    send(flow, packet, requestBytes);
}

void SoakCallers::send(Flow& flow, TokenPacket packet, std::size_t payloadBytes)
{
    packet.ends = flow.ends;
    const std::vector<std::uint8_t> payload(payloadBytes, 0x2A);
    const auto [balancer, name] = events_.routePacket(flow.ends);
    flow.lastBalancer = name;
    if (balancer.isSet())
        socket_->send(balancer, encodeWithChecksum(packet, payload));
}

void SoakCallers::receive(std::span<const std::uint8_t> datagram)
{
    const TimePoint now = Clock::now();
    const auto packet = platform::decodePacket(datagram);
    if (!packet)
        return events_.onCorruptedPacket();
    const std::uint16_t port = packet->ends.route.port;
    const auto found = flows_.find(port);
    if (found == flows_.end() || packet->ends.caller != found->second.ends.route)
        return;
    Flow& flow = found->second;
    if (packet->resets && hasNoChecksum(datagram)) {
        events_.onReset(flow.ends, flow.lastBalancer, flow.state != State::Opening);
        return endFlow(port, flow.state != State::Idle);
    }
    if (!hasValidChecksum(datagram))
        return events_.onCorruptedPacket();
    if (packet->resets)
        return endFlow(port, flow.state != State::Idle);
    handleServerPacket(flow, *packet, now);
}

void SoakCallers::handleServerPacket(Flow& flow, const TokenPacket& packet, TimePoint now)
{
    flow.token = packet.token;
    if (packet.opens) {
        if (flow.state != State::Opening)
            return;
        flow.sequence += 1;
        flow.acknowledgement = packet.sequence + 1;
        return startRequest(flow, now);
    }
    const bool isAnswer = flow.state == State::AwaitingResponse && packet.payloadBytes > 0
        && packet.acknowledgement == flow.sequence + requestBytes && packet.sequence == flow.acknowledgement;
    if (!isAnswer)
        return;
    events_.onRequest(true, flow.lastBalancer, flow.ends.route, flow.requestedAt);
    flow.sequence += requestBytes;
    flow.acknowledgement += packet.payloadBytes;
    flow.state = State::Idle;
    flow.nextActionAt = now + thinkTime;
    TokenPacket confirmation;
    confirmation.acknowledges = true;
    confirmation.token = flow.token;
    confirmation.sequence = flow.sequence;
    confirmation.acknowledgement = flow.acknowledgement;
    confirmation.finishes = --flow.requestsLeft == 0;
    send(flow, confirmation, 0);
    if (confirmation.finishes)
        flows_.erase(flow.ends.caller.port);
}

void SoakCallers::endFlow(std::uint16_t port, bool hasFailedRequest)
{
    const auto found = flows_.find(port);
    if (hasFailedRequest) {
        const Flow& flow = found->second;
        events_.onRequest(false, flow.lastBalancer, flow.ends.route, flow.requestedAt);
    }
    flows_.erase(found);
}

}
