#include "Forward/OpenFlowTable.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    // Compares sequence numbers, which wrap around: returns whether a follows b by less than half of the range.
    bool isAfter(std::uint32_t a, std::uint32_t b) { return static_cast<std::int32_t>(a - b) > 0; }

    void noteResponse(ServerObservation& seen, TimePoint now)
    {
        seen.lastProgress = now;
        seen.waitingSince = TimePoint::max();
        seen.unansweredSince = TimePoint::max();
        seen.failures = 0;
        seen.ejectedUntil = TimePoint::min();
    }

}

FlowRecord* OpenFlowTable::find(const FlowEnds& ends)
{
    const auto found = flows_.find(ends);
    return found == flows_.end() ? nullptr : &found->second;
}

void OpenFlowTable::noteAttempt(const FlowEnds& ends, KnownServer& server, std::uint32_t copies, TimePoint now)
{
    if (server.seen.waitingSince == TimePoint::max())
        server.seen.waitingSince = now;
    if (server.seen.unansweredSince == TimePoint::max())
        server.seen.unansweredSince = now;
    server.group->awaited.insert(&server);
    if (flows_.size() >= maxFlows)
        return;
    const auto [entry, isNew] = flows_.try_emplace(ends);
    FlowRecord& flow = entry->second;
    if (isNew) {
        flow.openedAt = now;
        notePriority(flow, ends);
    } else if (flow.token != server.token) {
        flow.previousTokens = { flow.token, flow.previousTokens[0] };
    }
    if (flow.token != server.token) {
        completeAnswer(flow, ends.route);
        setBusy(flow, false, now);
        adjustCounters(flow.token, -1, 0);
        adjustCounters(server.token, 1, 0);
        setLoadCell(flow, server, now);
    }
    flow.token = server.token;
    flow.isOpen = false;
    flow.copies = copies;
    flow.lastAttemptAt = now;
    flow.lastSeen = now;
}

FlowProgress OpenFlowTable::noteTraffic(const TokenPacket& packet, KnownServer& server, TimePoint now)
{
    FlowProgress progress;
    FlowRecord* flow = findOrAddOpen(packet, server, now);
    if (!flow)
        return progress;
    flow->lastSeen = now;
    trackAcknowledgement(*flow, packet, progress, now);
    if (progress.hasAnswered) {
        progress.hasRecovered = server.seen.failures > 0;
        noteResponse(server.seen, now);
    }
    trackSentBytes(*flow, packet, progress, now);
    if (packet.finishes || packet.resets) {
        // The caller ended the flow without waiting for the answer.
        if (flow->isBusy)
            noteOutcome(*flow, false, now);
        completeAnswer(*flow, packet.ends.route);
        uncount(*flow, now);
        flows_.erase(packet.ends);
    }
    return progress;
}

// Returns the flow's record, assigned to the packet's server even if another one got the latest opening packet. Returns
// null for a flow that is not tracked.
FlowRecord* OpenFlowTable::findOrAddOpen(const TokenPacket& packet, const KnownServer& server, TimePoint now)
{
    FlowRecord* flow = find(packet.ends);
    if (!flow) {
        if (flows_.size() >= maxFlows || packet.finishes || packet.resets)
            return nullptr;
        flow = &flows_[packet.ends];
        flow->token = server.token;
        flow->isOpen = true;
        flow->acknowledged = packet.acknowledgement;
        flow->sequenceEnd = packet.sequence;
        adjustCounters(server.token, 1, 0);
        notePriority(*flow, packet.ends);
        setLoadCell(*flow, server, now);
    }
    if (flow->token != server.token) {
        completeAnswer(*flow, packet.ends.route);
        adjustCounters(flow->token, -1, flow->isBusy ? -1 : 0);
        adjustCounters(server.token, 1, flow->isBusy ? 1 : 0);
        setLoadCell(*flow, server, now);
        flow->token = server.token;
    }
    return flow;
}

void OpenFlowTable::trackAcknowledgement(
    FlowRecord& flow, const TokenPacket& packet, FlowProgress& progress, TimePoint now)
{
    if (!flow.isOpen) {
        flow.isOpen = true;
        flow.acknowledged = packet.acknowledgement;
        flow.sequenceEnd = packet.sequence;
        progress.hasAnswered = true;
        // After a copy it is unknown which of the opening packets was answered.
        if (flow.copies == 0)
            progress.openingTime = now - flow.openedAt;
        return;
    }
    if (!packet.acknowledges || !isAfter(packet.acknowledgement, flow.acknowledged))
        return;
    flow.acknowledged = packet.acknowledgement;
    progress.hasAnswered = true;
    if (flow.isBusy && now > flow.busySince) {
        progress.answerTime = now - flow.busySince;
        discountDelay(flow, *progress.answerTime);
        noteOutcome(flow, true, now);
        setBusy(flow, false, now);
    }
    if (flow.hasPartialAnswer)
        trackAnswer(flow, packet.ends.route, now);
}

void OpenFlowTable::trackSentBytes(FlowRecord& flow, const TokenPacket& packet, FlowProgress& progress, TimePoint now)
{
    const std::uint32_t end = packet.sequence + packet.payloadBytes;
    if (isAfter(end, flow.sequenceEnd)) {
        flow.sequenceEnd = end;
        flow.lastNewBytes = now;
        progress.beginsRequest = packet.payloadBytes > 0 && !flow.isBusy;
        if (progress.beginsRequest) {
            completeAnswer(flow, packet.ends.route);
            flow.answerStart = flow.acknowledged;
        }
        if (packet.payloadBytes > 0)
            setBusy(flow, true, now);
    } else if (packet.payloadBytes > 0) {
        const bool isOutOfOrder = now - flow.lastNewBytes < reorderingWindow;
        progress.mayBeRequestHead = isOutOfOrder;
        progress.isRetransmission = !isOutOfOrder;
    }
}

void OpenFlowTable::forgetFlowsOf(std::uint32_t token, TimePoint now)
{
    absl::erase_if(flows_, [&](auto& row) {
        FlowRecord& flow = row.second;
        if (flow.token != token)
            return false;
        completeAnswer(flow, row.first.route);
        if (flow.isBusy && flow.loadCell != RequestLoadMeter::noCell)
            loadMeter_.end(flow.loadCell, now);
        return true;
    });
}

std::vector<FailingChange> OpenFlowTable::tick(TimePoint now)
{
    absl::erase_if(flows_, [&](auto& row) {
        FlowRecord& flow = row.second;
        if (flow.isBusy && now - flow.busySince > answerTimeout)
            noteOutcome(flow, false, now);
        if (flow.hasPartialAnswer && now - flow.lastAnswerPart >= answerCompletionTime)
            completeAnswer(flow, row.first.route);
        const auto lifetime = flow.isOpen ? activeTimeout : openingLifetime;
        if (now - flow.lastSeen < lifetime)
            return false;
        completeAnswer(flow, row.first.route);
        uncount(flow, now);
        return true;
    });
    return updateFailingServers(now);
}

std::vector<FailingChange> OpenFlowTable::updateFailingServers(TimePoint now)
{
    std::vector<FailingChange> changes;
    absl::erase_if(observed_, [&](std::uint32_t token) {
        KnownServer* server = directory_.findByToken(token);
        if (!server)
            return true;
        const float share = server->seen.outcomes.failingShare(now);
        const bool isFailing = share >= (server->seen.isFailing ? recoveryThreshold : failingThreshold);
        if (isFailing != server->seen.isFailing)
            changes.push_back({ server->entry.id, server->entry.service, isFailing, share });
        server->seen.isFailing = isFailing;
        // The share only falls until the next outcome.
        return share < recoveryThreshold;
    });
    return changes;
}

void OpenFlowTable::adjustCounters(std::uint32_t token, int flows, int busy)
{
    KnownServer* server = token == 0 ? nullptr : directory_.findByToken(token);
    if (!server)
        return;
    server->seen.flows = static_cast<std::uint32_t>(std::max(0, static_cast<int>(server->seen.flows) + flows));
    server->seen.busy = static_cast<std::uint32_t>(std::max(0, static_cast<int>(server->seen.busy) + busy));
}

void OpenFlowTable::setBusy(FlowRecord& flow, bool isBusy, TimePoint now)
{
    if (isBusy && !flow.isBusy) {
        flow.busySince = now;
        flow.isOverdue = false;
    }
    if (isBusy != flow.isBusy) {
        adjustCounters(flow.token, 0, isBusy ? 1 : -1);
        if (flow.loadCell != RequestLoadMeter::noCell)
            isBusy ? loadMeter_.begin(flow.loadCell, now) : loadMeter_.end(flow.loadCell, now);
    }
    flow.isBusy = isBusy;
}

// A request that was counted as unanswered is not counted again if its answer arrives late.
void OpenFlowTable::noteOutcome(FlowRecord& flow, bool isAnswered, TimePoint now)
{
    KnownServer* server = directory_.findByToken(flow.token);
    if (!server || flow.isOverdue)
        return;
    flow.isOverdue = !isAnswered;
    if (!isAnswered) {
        countLoad(flow, RequestOutcome::Unanswered);
    } else if (routes_) {
        flow.hasPartialAnswer = true;
        flow.isOutcomeCounted = false;
        flow.answerTime = now - flow.busySince;
    }
    server->seen.outcomes.note(isAnswered, now);
    server->group->outcomes.note(isAnswered, now);
    observed_.insert(flow.token);
}

void OpenFlowTable::uncount(FlowRecord& flow, TimePoint now)
{
    setBusy(flow, false, now);
    adjustCounters(flow.token, -1, 0);
}

void OpenFlowTable::notePriority(FlowRecord& flow, const FlowEnds& ends) const
{
    const FlowRoute* route = routes_ ? routes_->find(ends.route) : nullptr;
    flow.priority = route ? route->priority : 0;
}

void OpenFlowTable::setLoadCell(FlowRecord& flow, const KnownServer& server, TimePoint now)
{
    if (!routes_ || !server.group)
        return;
    const RequestLoadMeter::Cell former = std::exchange(flow.loadCell, loadMeter_.cellOf(*server.group, flow.priority));
    if (!flow.isBusy || former == flow.loadCell)
        return;
    if (former != RequestLoadMeter::noCell)
        loadMeter_.end(former, now);
    loadMeter_.resume(flow.loadCell, now);
}

void OpenFlowTable::countLoad(const FlowRecord& flow, RequestOutcome outcome, Duration answerTime)
{
    if (flow.loadCell != RequestLoadMeter::noCell)
        loadMeter_.count(flow.loadCell, outcome, answerTime);
}

// The server had finished the request before its caller acknowledged the answer.
void OpenFlowTable::discountDelay(const FlowRecord& flow, Duration answerTime)
{
    const bool isDelayed = flow.acknowledged - flow.answerStart <= maxPacketBytes;
    if (isDelayed && flow.loadCell != RequestLoadMeter::noCell)
        loadMeter_.discount(flow.loadCell, std::min(answerTime, Duration(acknowledgementDelay_)));
}

void OpenFlowTable::trackAnswer(FlowRecord& flow, Endpoint route, TimePoint now)
{
    flow.lastAnswerPart = now;
    // Callers choose the address, so sizes are kept for routes only.
    if (!routes_->find(route))
        return;
    if (flow.isOutcomeCounted || !answerSizes_[route].isServed(flow.acknowledged - flow.answerStart))
        return;
    flow.isOutcomeCounted = true;
    countLoad(flow, RequestOutcome::Served, flow.answerTime);
}

void OpenFlowTable::completeAnswer(FlowRecord& flow, Endpoint route)
{
    if (!std::exchange(flow.hasPartialAnswer, false) || !routes_->find(route))
        return;
    const bool isRejection = answerSizes_[route].note(flow.acknowledged - flow.answerStart);
    if (!flow.isOutcomeCounted)
        countLoad(flow, isRejection ? RequestOutcome::Rejected : RequestOutcome::Served, flow.answerTime);
}

}
