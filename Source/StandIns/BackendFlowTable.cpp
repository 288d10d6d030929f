#include "StandIns/BackendFlowTable.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // The table holds at most connections * (1 + endedPerConnection) flows, including ended ones.
    constexpr std::size_t endedPerConnection = 4;

}

BackendFlowTable::BackendFlowTable(BackendServerId self, ServiceId service, BackendFlowLimits limits)
    : serverId_(self)
    , service_(service)
    , limits_(limits)
{
}

std::optional<FlowPayload> BackendFlowTable::handle(const FlowPayload& packet, TimePoint now)
{
    ++counts_.packets;
    if (packet.service != service_) {
        ++counts_.wrongServicePackets;
        return replyTo(packet, FlowStatus::WrongService);
    }

    auto found = flows_.find(packet.flow);
    if (found == flows_.end()) {
        if (packet.sequence > 0) {
            ++counts_.unknownFlowPackets;
            return replyTo(packet, FlowStatus::UnknownFlow);
        }
        found = openFlow(packet.flow, now);
        if (found == flows_.end())
            return std::nullopt;
    }

    Flow& flow = found->second;
    flow.lastSeen = now;
    ++flow.packets;
    if (packet.end && !flow.ended) {
        flow.ended = true;
        --liveFlows_;
    }
    return replyTo(packet, FlowStatus::Ok);
}

void BackendFlowTable::expire(TimePoint now)
{
    absl::erase_if(flows_, [&](const auto& entry) {
        const Flow& flow = entry.second;
        const Duration limit = flow.ended ? limits_.endedFlowRetention : limits_.idleTimeout;
        if (now - flow.lastSeen < limit)
            return false;
        if (!flow.ended)
            --liveFlows_;
        return true;
    });
}

FlowPayload BackendFlowTable::replyTo(const FlowPayload& packet, FlowStatus status) const
{
    FlowPayload reply = packet;
    reply.kind = FlowPayloadKind::Reply;
    reply.status = status;
    reply.service = service_;
    reply.backendServer = serverId_;
    return reply;
}

BackendFlowTable::Flows::iterator BackendFlowTable::openFlow(std::uint64_t id, TimePoint now)
{
    if (liveFlows_ >= limits_.connections || flows_.size() >= limits_.connections * (1 + endedPerConnection)) {
        ++counts_.refusedFlows;
        return flows_.end();
    }
    if (newFlows_.size() < limits_.maxNewFlowRecords)
        newFlows_.push_back({ id, now });
    else
        ++counts_.droppedRecords;
    ++counts_.newFlows;
    ++liveFlows_;
    counts_.peakFlows = std::max(counts_.peakFlows, liveFlows_);
    return flows_.emplace(id, Flow { .lastSeen = now }).first;
}

}
