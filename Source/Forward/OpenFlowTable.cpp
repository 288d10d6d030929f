#include "Forward/OpenFlowTable.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // Sequence numbers wrap around: true when a lies behind b by less than half of the range.
    bool isAfter(std::uint32_t a, std::uint32_t b) { return static_cast<std::int32_t>(a - b) > 0; }

    void noteLife(ServerObservation& seen, TimePoint now)
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
    if (flows_.size() >= limit)
        return;
    const auto [entry, isNew] = flows_.try_emplace(ends);
    FlowRecord& flow = entry->second;
    if (isNew)
        flow.openedAt = now;
    else if (flow.token != server.token)
        flow.previousTokens = { flow.token, flow.previousTokens[0] };
    if (flow.token != server.token) {
        count(flow.token, -1, flow.isBusy ? -1 : 0);
        count(server.token, 1, 0);
        flow.isBusy = false;
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
    FlowRecord* flow = rememberOpen(packet, server);
    if (!flow)
        return progress;
    flow->lastSeen = now;
    learnAnswer(*flow, packet, progress, now);
    if (progress.hasAnswered) {
        progress.hasRecovered = server.seen.failures > 0;
        noteLife(server.seen, now);
    }
    learnSent(*flow, packet, progress, now);
    if (packet.finishes || packet.resets) {
        // A caller that ends the flow without an answer has given up.
        if (flow->isBusy)
            noteOutcome(*flow, false, now);
        forget(*flow);
        flows_.erase(packet.ends);
    }
    return progress;
}

// The packet's server is the one that holds the flow, whatever was tried last: null when the flow is not remembered.
FlowRecord* OpenFlowTable::rememberOpen(const TokenPacket& packet, const KnownServer& server)
{
    FlowRecord* flow = find(packet.ends);
    if (!flow) {
        if (flows_.size() >= limit || packet.finishes || packet.resets)
            return nullptr;
        flow = &flows_[packet.ends];
        flow->token = server.token;
        flow->isOpen = true;
        flow->acknowledged = packet.acknowledgement;
        flow->sequenceEnd = packet.sequence;
        count(server.token, 1, 0);
    }
    if (flow->token != server.token) {
        count(flow->token, -1, flow->isBusy ? -1 : 0);
        count(server.token, 1, flow->isBusy ? 1 : 0);
        flow->token = server.token;
    }
    return flow;
}

void OpenFlowTable::learnAnswer(FlowRecord& flow, const TokenPacket& packet, FlowProgress& progress, TimePoint now)
{
    if (!flow.isOpen) {
        flow.isOpen = true;
        flow.acknowledged = packet.acknowledgement;
        flow.sequenceEnd = packet.sequence;
        progress.hasAnswered = true;
        // A copy in between leaves open which of the tries was answered.
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
        noteOutcome(flow, true, now);
        setBusy(flow, false, now);
    }
}

void OpenFlowTable::learnSent(FlowRecord& flow, const TokenPacket& packet, FlowProgress& progress, TimePoint now)
{
    const std::uint32_t end = packet.sequence + packet.payloadBytes;
    if (isAfter(end, flow.sequenceEnd)) {
        flow.sequenceEnd = end;
        flow.lastNewBytes = now;
        progress.beginsRequest = packet.payloadBytes > 0 && !flow.isBusy;
        if (packet.payloadBytes > 0)
            setBusy(flow, true, now);
    } else if (packet.payloadBytes > 0) {
        const bool isOutOfOrder = now - flow.lastNewBytes < reorderingWindow;
        progress.mayBeRequestHead = isOutOfOrder;
        progress.isRetransmission = !isOutOfOrder;
    }
}

void OpenFlowTable::forgetFlowsOf(std::uint32_t token)
{
    absl::erase_if(flows_, [&](const auto& row) { return row.second.token == token; });
}

std::vector<FailingChange> OpenFlowTable::tick(TimePoint now)
{
    absl::erase_if(flows_, [&](auto& row) {
        FlowRecord& flow = row.second;
        if (flow.isBusy && now - flow.busySince > answerTimeout)
            noteOutcome(flow, false, now);
        const auto lifetime = flow.isOpen ? activeTimeout : openingLifetime;
        if (now - flow.lastSeen < lifetime)
            return false;
        forget(flow);
        return true;
    });
    return reviewOutcomes(now);
}

std::vector<FailingChange> OpenFlowTable::reviewOutcomes(TimePoint now)
{
    std::vector<FailingChange> changes;
    directory_.forEach([&](KnownServer& server) {
        const float share = server.seen.outcomes.failingShare(now);
        const bool isFailing = share >= (server.seen.isFailing ? recoveryThreshold : failingThreshold);
        if (isFailing == server.seen.isFailing)
            return;
        server.seen.isFailing = isFailing;
        changes.push_back({ server.entry.id, server.entry.service, isFailing, share });
    });
    return changes;
}

void OpenFlowTable::count(std::uint32_t token, int flows, int busy)
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
    if (isBusy != flow.isBusy)
        count(flow.token, 0, isBusy ? 1 : -1);
    flow.isBusy = isBusy;
}

// A late answer does not take back that it was late.
void OpenFlowTable::noteOutcome(FlowRecord& flow, bool isAnswered, TimePoint now)
{
    KnownServer* server = directory_.findByToken(flow.token);
    if (!server || flow.isOverdue)
        return;
    flow.isOverdue = !isAnswered;
    server->seen.outcomes.note(isAnswered, now);
}

void OpenFlowTable::forget(FlowRecord& flow) { count(flow.token, -1, flow.isBusy ? -1 : 0); }

}
