#include "Model/ModelCallers.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // The retransmission schedule of callers on the users' platform, from the first packet on.
    constexpr std::array<std::chrono::milliseconds, 3> openingDelays { 0ms, 200ms, 600ms };
    constexpr std::chrono::milliseconds openingTimeout { 1400 };
    constexpr std::chrono::milliseconds initialRetransmitInterval { 200 };
    constexpr Duration maxRetransmitInterval = 1600ms;

    constexpr std::uint16_t requestBytes = 100;
    constexpr std::uint32_t answerBytes = 1000;
    constexpr std::uint32_t callerSequence = 1000;
    constexpr std::uint32_t serverSequence = 5000;
    constexpr std::uint32_t firstCallerAddress = 0x64400000;
    // Limits the log-normal work to this multiple of its mean.
    constexpr double maxWorkFactor = 6;

    Duration durationOf(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    std::size_t indexOf(Duration offset, std::chrono::milliseconds length)
    {
        return static_cast<std::size_t>(offset / length);
    }

}

Endpoint modelRouteOf(std::size_t kind) { return { 0xC6120001 + static_cast<std::uint32_t>(kind), 443 }; }

ModelCallers::ModelCallers(EventQueue& events, const ModelScenario& scenario, std::uint64_t seed, Send send)
    : events_(events)
    , scenario_(scenario)
    , random_(seed)
    , send_(std::move(send))
    , startedAt_(events.now())
{
    result_.windows.resize(indexOf(scenario.length + ModelResult::windowLength - 1ms, ModelResult::windowLength));
    result_.steps.resize(indexOf(scenario.length + ModelResult::stepLength - 1ms, ModelResult::stepLength));
}

void ModelCallers::start()
{
    for (std::size_t kind = 0; kind < scenario_.requestKinds.size(); ++kind)
        scheduleNext(kind);
}

void ModelCallers::scheduleNext(std::size_t kind)
{
    const double rate = scenario_.requestKinds[kind].perSecond * loadFactor_;
    if (rate <= 0)
        return;
    const double gap = boost::random::exponential_distribution<>(rate)(random_);
    events_.after(durationOf(gap), [this, kind] {
        if (events_.now() - startedAt_ >= scenario_.length)
            return;
        startRequest(kind);
        scheduleNext(kind);
    });
}

void ModelCallers::startRequest(std::size_t kindIndex)
{
    const ModelRequestKind& kind = scenario_.requestKinds[kindIndex];
    Request request;
    request.kind = kindIndex;
    request.zone = boost::random::uniform_int_distribution<std::uint32_t>(0, scenario_.zones - 1)(random_);
    if (request.zone == 0 && boost::random::uniform_01<>()(random_) < zoneShift_)
        request.zone = scenario_.zones - 1;
    request.caller = boost::random::uniform_int_distribution<std::uint32_t>(0, scenario_.callersPerZone - 1)(random_);
    request.requestedAt = events_.now();
    const double mean = std::log(kind.workMilliseconds) - kind.spread * kind.spread / 2;
    const double work = boost::random::lognormal_distribution<>(mean, kind.spread)(random_);
    request.work = durationOf(std::min(work, kind.workMilliseconds * maxWorkFactor) / 1000);
    requests_.push_back(request);
    const ModelRequestId id = requests_.size();
    events_.after(kind.budget, [this, id] {
        if (!requestOf(id).isFinished)
            finish(id, ModelOutcome::Failed);
    });
    startAttempt(id, false);
}

void ModelCallers::startAttempt(ModelRequestId id, bool onNewFlow)
{
    Request& request = requestOf(id);
    ++request.attempts;
    std::vector<FlowEnds>& pool = idleFlows_[{ request.zone, request.caller, request.kind }];
    if (onNewFlow || pool.empty())
        return openFlow(id);
    const FlowEnds ends = pool.back();
    pool.pop_back();
    Flow& flow = flows_.at(ends);
    flow.request = id;
    sendRequest(ends, ++flow.requestNumber, initialRetransmitInterval);
}

FlowEnds ModelCallers::newEnds(const Request& request)
{
    // Every flow has a caller address and port of its own, so that flows never share a key.
    const std::uint64_t number = nextPort_++;
    const auto address = firstCallerAddress + static_cast<std::uint32_t>(number / 50000);
    return { { address, static_cast<std::uint16_t>(1024 + number % 50000) }, modelRouteOf(request.kind) };
}

void ModelCallers::openFlow(ModelRequestId id)
{
    const Request& request = requestOf(id);
    const FlowEnds ends = newEnds(request);
    Flow flow;
    flow.zone = request.zone;
    flow.caller = request.caller;
    flow.kind = request.kind;
    flow.sequence = callerSequence;
    flow.request = id;
    flow.requestNumber = 1;
    flows_.emplace(ends, flow);
    for (std::uint32_t copies = 0; copies < openingDelays.size(); ++copies)
        events_.after(openingDelays[copies], [this, ends, copies] { sendOpening(ends, copies); });
    events_.after(openingTimeout, [this, ends, id] {
        const Flow* waiting = find(ends);
        if (!waiting || waiting->isOpen)
            return;
        flows_.erase(ends);
        retry(id, true, ModelOutcome::Failed);
    });
}

void ModelCallers::sendOpening(const FlowEnds& ends, std::uint32_t copies)
{
    const Flow* flow = find(ends);
    if (!flow || flow->isOpen)
        return;
    TokenPacket packet;
    packet.ends = ends;
    packet.sequence = flow->sequence;
    packet.acknowledgement = copies;
    packet.opens = true;
    send_(flow->zone, packet, noModelRequest);
}

void ModelCallers::handleOpened(const FlowEnds& ends, std::uint32_t token)
{
    Flow* flow = find(ends);
    if (!flow || flow->isOpen)
        return;
    flow->isOpen = true;
    flow->token = token;
    flow->sequence += 1;
    flow->acknowledgement = serverSequence;
    sendRequest(ends, flow->requestNumber, initialRetransmitInterval);
}

void ModelCallers::sendRequest(const FlowEnds& ends, std::uint64_t requestNumber, Duration interval)
{
    const Flow* flow = find(ends);
    if (!flow || flow->requestNumber != requestNumber || flow->request == noModelRequest)
        return;
    TokenPacket packet;
    packet.ends = ends;
    packet.token = flow->token;
    packet.sequence = flow->sequence;
    packet.acknowledgement = flow->acknowledgement;
    packet.acknowledges = true;
    packet.payloadBytes = requestBytes;
    send_(flow->zone, packet, flow->request);
    events_.after(interval, [this, ends, requestNumber, interval] {
        sendRequest(ends, requestNumber, std::min(interval * 2, maxRetransmitInterval));
    });
}

void ModelCallers::sendAcknowledgement(const FlowEnds& ends, const Flow& flow, bool finishes)
{
    TokenPacket packet;
    packet.ends = ends;
    packet.token = flow.token;
    packet.sequence = flow.sequence;
    packet.acknowledgement = flow.acknowledgement;
    packet.acknowledges = true;
    packet.finishes = finishes;
    send_(flow.zone, packet, noModelRequest);
}

void ModelCallers::handleAnswer(const FlowEnds& ends, ModelRequestId id)
{
    Flow* flow = find(ends);
    if (!flow || flow->request != id)
        return;
    flow->request = noModelRequest;
    flow->sequence += requestBytes;
    flow->acknowledgement += answerBytes;
    const Request& request = requestOf(id);
    const bool isInTime = events_.now() - request.requestedAt <= kindOf(request).targetLatency;
    finish(id, isInTime ? ModelOutcome::InTime : ModelOutcome::Late);
    const bool keeps = kindOf(request).keepsFlows && boost::random::uniform_01<>()(random_) >= scenario_.closingShare;
    if (!keeps)
        return close(ends);
    sendAcknowledgement(ends, *flow, false);
    idleFlows_[{ flow->zone, flow->caller, flow->kind }].push_back(ends);
}

void ModelCallers::handleRefusal(const FlowEnds& ends, ModelRequestId id)
{
    const Flow* flow = find(ends);
    if (!flow || flow->request != id)
        return;
    close(ends);
    retry(id, true, ModelOutcome::Refused);
}

void ModelCallers::handleReset(const FlowEnds& ends)
{
    const Flow* flow = find(ends);
    if (!flow)
        return;
    ++result_.resets;
    const ModelRequestId id = flow->request;
    const bool wasOpen = flow->isOpen;
    std::erase(idleFlows_[{ flow->zone, flow->caller, flow->kind }], ends);
    flows_.erase(ends);
    if (id != noModelRequest)
        retry(id, !wasOpen || kindOf(requestOf(id)).isIdempotent, ModelOutcome::Failed);
}

void ModelCallers::retry(ModelRequestId id, bool mayRepeat, ModelOutcome finalOutcome)
{
    const Request& request = requestOf(id);
    if (request.isFinished)
        return;
    if (mayRepeat && request.attempts <= kindOf(request).retries)
        startAttempt(id, true);
    else
        finish(id, finalOutcome);
}

void ModelCallers::finish(ModelRequestId id, ModelOutcome outcome)
{
    Request& request = requestOf(id);
    if (std::exchange(request.isFinished, true))
        return;
    const ModelRequestKind& kind = kindOf(request);
    const double earned = outcome == ModelOutcome::InTime ? kind.worth
        : outcome == ModelOutcome::Late                   ? kind.lateWorth
                                                          : 0;
    const Duration offset = request.requestedAt - startedAt_;
    result_.all.add(outcome, kind.worth, earned);
    result_.windows[indexOf(offset, ModelResult::windowLength)].add(outcome, kind.worth, earned);
    result_.steps[indexOf(offset, ModelResult::stepLength)].add(outcome, kind.worth, earned);
    if (outcome != ModelOutcome::Failed)
        return;
    // A caller that gives up closes the flow of the request.
    const auto open = std::ranges::find_if(flows_, [&](const auto& row) { return row.second.request == id; });
    if (open != flows_.end())
        close(FlowEnds(open->first));
}

void ModelCallers::close(const FlowEnds& ends)
{
    const Flow flow = flows_.at(ends);
    flows_.erase(ends);
    if (flow.isOpen)
        sendAcknowledgement(ends, flow, true);
}

ModelCallers::Flow* ModelCallers::find(const FlowEnds& ends)
{
    const auto found = flows_.find(ends);
    return found == flows_.end() ? nullptr : &found->second;
}

}
