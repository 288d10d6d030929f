#include "StandIns/CallerFlows.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriadock {

namespace {

    // How long a flow waits for the reply to its last packet.
    constexpr Duration finalReplyTimeout = std::chrono::seconds(1);
    // The mean number of packets between two idle periods of a flow.
    constexpr double packetsPerBurst = 10;

    constexpr std::uint32_t clientNetwork = 10U << 24;
    constexpr std::uint32_t clientHostMask = (1U << 24) - 1;
    constexpr std::uint16_t firstClientPort = 1024;

    Duration scaled(Duration duration, double factor)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(duration) * factor);
    }

}

// Flows of one run differ in their low 24 bits. Multiplication by an odd number maps these bits one-to-one to hosts.
Endpoint clientEndpointOf(std::uint64_t flow)
{
    constexpr std::uint32_t multiplier = 0x9E3779B1U;
    const std::uint32_t host = (static_cast<std::uint32_t>(flow) * multiplier) & clientHostMask;
    const std::uint64_t port = firstClientPort + hashPair(flow, 0) % (65536U - firstClientPort);
    return { clientNetwork | host, static_cast<std::uint16_t>(port) };
}

CallerFlows::CallerFlows(CallerFlowOptions options, TimePoint start)
    : options_(std::move(options))
    , start_(start)
    , random_(hashPair(options_.seed, 1))
    , nextOpening_(start)
    // Callers with different seeds use different flow ids.
    , flowIdBase_(hashPair(options_.seed, 2) << 32)
{
}

void CallerFlows::poll(TimePoint now, std::vector<CallerPacket>& due)
{
    while (
        !stopped_ && options_.flowsPerSecond > 0 && nextOpening_ <= now && nextOpening_ < start_ + options_.runTime) {
        openFlow(now, due);
        // Openings are a Poisson process.
        const double gapSeconds = -std::log1p(-random_.nextUniform()) / options_.flowsPerSecond;
        nextOpening_ += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gapSeconds));
    }
    while (!stopped_ && !events_.empty() && events_.top().at <= now) {
        const std::uint64_t flow = events_.top().flow;
        events_.pop();
        processEvent(flow, now, due);
    }
}

void CallerFlows::handle(const FlowPayload& reply, TimePoint now)
{
    if (reply.kind != FlowPayloadKind::Reply)
        return;
    ++counts_.replies;
    const auto found = flows_.find(reply.flow);
    if (found == flows_.end()) {
        ++counts_.lateReplies;
        return;
    }

    Flow& flow = found->second;
    const ServiceId expectedService = options_.services[flow.service].id;
    if (reply.status == FlowStatus::WrongService || reply.service != expectedService) {
        ++counts_.wrongServicePackets;
        // Only an established flow can be broken; the packet is counted in both cases.
        if (flow.phase != Phase::Opening)
            breakFlow(reply.flow, FlowBreakKind::WrongService, &reply, now);
        return;
    }
    if (flow.phase == Phase::Opening) {
        if (reply.status == FlowStatus::Ok)
            establish(flow, reply);
        return;
    }
    if (const auto kind = detectBreak(flow, reply)) {
        breakFlow(reply.flow, *kind, &reply, now);
        return;
    }
    if (reply.backendServer == flow.backendServer)
        flow.unanswered = 0;
    else
        ++counts_.openingsAtOtherServers;
}

TimePoint CallerFlows::nextEvent() const
{
    if (stopped_)
        return TimePoint::max();
    TimePoint next = TimePoint::max();
    if (options_.flowsPerSecond > 0 && nextOpening_ < start_ + options_.runTime)
        next = nextOpening_;
    if (!events_.empty())
        next = std::min(next, events_.top().at);
    return next;
}

void CallerFlows::openFlow(TimePoint now, std::vector<CallerPacket>& due)
{
    const std::uint64_t id = flowIdBase_ | flowCount_;
    ++flowCount_;
    // Drawn before the limit is checked, so that later flows do not depend on the number of open flows.
    Flow flow;
    flow.service = drawService();
    flow.startMark = random_.nextUniform() < options_.startMarkShare;
    flow.hasIdlePeriods = random_.nextUniform() < options_.idleShare;
    flow.end = now + drawLifetime();
    if (flows_.size() >= options_.maxOpenFlows) {
        ++counts_.flowsSkipped;
        return;
    }
    ++counts_.flowsOpened;
    Flow& opened = flows_.emplace(id, flow).first->second;
    sendPacket(id, opened, false, due);
    events_.push({ now + options_.openingRetryInterval, id });
}

// Performs the next action of a flow: repeats its opening packet, sends the next packet, or removes the flow.
void CallerFlows::processEvent(std::uint64_t id, TimePoint now, std::vector<CallerPacket>& due)
{
    const auto found = flows_.find(id);
    if (found == flows_.end())
        return;
    Flow& flow = found->second;

    if (flow.phase == Phase::Ending) {
        ++counts_.flowsEnded;
        flows_.erase(found);
        return;
    }
    if (flow.phase == Phase::Opening) {
        if (flow.unanswered >= options_.openingAttempts) {
            ++counts_.flowsNotEstablished;
            flows_.erase(found);
            return;
        }
        sendPacket(id, flow, false, due);
        events_.push({ now + options_.openingRetryInterval, id });
        return;
    }
    if (flow.unanswered >= options_.maxUnansweredPackets) {
        breakFlow(id, FlowBreakKind::Stalled, nullptr, now);
        return;
    }

    const bool last = now >= flow.end;
    sendPacket(id, flow, last, due);
    if (last)
        flow.phase = Phase::Ending;
    events_.push({ now + (last ? finalReplyTimeout : pauseAfterPacket(flow, now)), id });
}

void CallerFlows::sendPacket(std::uint64_t id, Flow& flow, bool end, std::vector<CallerPacket>& due)
{
    const CallerService& service = options_.services[flow.service];
    const FlowPayload payload {
        .kind = FlowPayloadKind::Packet,
        .startMark = flow.startMark && flow.nextSequence == 0,
        .end = end,
        .flow = id,
        .sequence = flow.nextSequence,
        .service = service.id,
        .backendServer = {},
    };
    due.push_back({ { clientEndpointOf(id), service.address, std::nullopt }, payload });
    ++counts_.packetsSent;
    ++flow.unanswered;
    // The opening packet keeps its number until it is answered, as a SYN does.
    if (flow.phase != Phase::Opening)
        ++flow.nextSequence;
}

void CallerFlows::breakFlow(std::uint64_t id, FlowBreakKind kind, const FlowPayload* reply, TimePoint now)
{
    const auto found = flows_.find(id);
    const Flow& flow = found->second;
    ++counts_.flowsBroken;
    if (kind == FlowBreakKind::Stalled)
        ++counts_.flowsStalled;
    if (breaks_.size() < options_.maxBreaks) {
        breaks_.push_back({
            .at = now,
            .flow = id,
            .kind = kind,
            .sequence = reply ? reply->sequence : flow.nextSequence,
            .service = options_.services[flow.service].id,
            .expectedServer = flow.backendServer,
            .answeringServer = reply ? reply->backendServer : BackendServerId {},
        });
    }
    flows_.erase(found);
}

// Schedules no event: the pending one, which would repeat the opening packet, sends the next packet instead.
void CallerFlows::establish(Flow& flow, const FlowPayload& reply)
{
    flow.phase = Phase::Established;
    flow.backendServer = reply.backendServer;
    flow.nextSequence = 1;
    flow.unanswered = 0;
    ++counts_.flowsEstablished;
}

std::optional<FlowBreakKind> CallerFlows::detectBreak(const Flow& flow, const FlowPayload& reply) const
{
    if (reply.status == FlowStatus::UnknownFlow)
        return FlowBreakKind::UnknownFlow;
    // A second server may answer a repeated opening packet. If the flow really moved to it, replies to later packets
    // show this.
    if (reply.backendServer != flow.backendServer && reply.sequence > 0)
        return FlowBreakKind::ChangedServer;
    return std::nullopt;
}

Duration CallerFlows::pauseAfterPacket(const Flow& flow, TimePoint now)
{
    const double factor = random_.nextBetween(1 - options_.jitter, 1 + options_.jitter);
    const bool goesIdle = flow.hasIdlePeriods && random_.nextUniform() * packetsPerBurst < 1;
    const Duration pause = scaled(goesIdle ? options_.idleTime : options_.packetInterval, factor);
    // The last packet is sent at the flow's end, but not before a minimum interval has passed.
    const Duration untilEnd = std::max(flow.end - now, scaled(options_.packetInterval, 1 - options_.jitter));
    return std::min(pause, untilEnd);
}

Duration CallerFlows::drawLifetime()
{
    const bool isLongLived = random_.nextUniform() < options_.longLivedShare;
    const double factor = std::pow(1 - random_.nextUniform(), -1 / options_.lifetimeExponent);
    const double maxFactor = std::chrono::duration<double>(options_.runTime) / options_.minLifetime + 1;
    // A lifetime of one run time always ends after the run.
    return isLongLived ? options_.runTime : scaled(options_.minLifetime, std::min(factor, maxFactor));
}

std::uint16_t CallerFlows::drawService()
{
    double sum = 0;
    for (const CallerService& service : options_.services)
        sum += service.share;
    double drawn = random_.nextUniform() * sum;
    std::uint16_t chosen = 0;
    for (const CallerService& service : options_.services) {
        drawn -= service.share;
        if (drawn < 0)
            return chosen;
        ++chosen;
    }
    return static_cast<std::uint16_t>(options_.services.size() - 1);
}

}
