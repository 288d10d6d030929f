#pragma once

#include "Core/Clock.h"
#include "Core/Identifiers.h"
#include "StandIns/FlowPayload.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace wisteriadock {

struct BackendFlowLimits {
    // Flows that the server carries at once; packets that would open more stay unanswered.
    std::size_t connections = 2000;
    // First-seen times that are kept for the experiment.
    std::size_t maxNewFlowRecords = 500'000;
    Duration idleTimeout = std::chrono::seconds(300);
    // How long an ended flow is remembered, so that its late packets are not taken for a broken flow's.
    Duration endedFlowRetention = std::chrono::seconds(5);
};

struct BackendFlowCounts {
    std::uint64_t packets = 0;
    std::uint64_t newFlows = 0;
    std::uint64_t unknownFlowPackets = 0;
    std::uint64_t wrongServicePackets = 0;
    // Openings beyond the connection limit.
    std::uint64_t refusedFlows = 0;
    std::uint64_t droppedRecords = 0;
    std::size_t peakFlows = 0;
};

struct NewFlowRecord {
    std::uint64_t flow = 0;
    TimePoint firstSeen;
};

// The flows that one backend server holds and what it answers to each of their packets. Like a TCP stack it knows a
// flow only by the packet that opened it, and resets all others. Decides only; BackendStandInServer moves the bytes.
class BackendFlowTable {
public:
    BackendFlowTable(BackendServerId, ServiceId, BackendFlowLimits);

    // The reply to a packet, or none when a server would stay silent.
    std::optional<FlowPayload> handle(const FlowPayload& packet, TimePoint now);

    // Forgets flows that were idle or ended for long; to be called about once a second.
    void expire(TimePoint now);

    // Flows that were opened and have not ended.
    std::size_t liveFlows() const { return liveFlows_; }
    const BackendFlowCounts& counts() const { return counts_; }
    const std::vector<NewFlowRecord>& newFlows() const { return newFlows_; }

private:
    struct Flow {
        TimePoint lastSeen;
        std::uint64_t packets = 0;
        bool ended = false;
    };
    using Flows = absl::flat_hash_map<std::uint64_t, Flow>;

    FlowPayload replyTo(const FlowPayload& packet, FlowStatus) const;
    Flows::iterator openFlow(std::uint64_t id, TimePoint now);

    BackendServerId serverId_;
    ServiceId service_;
    BackendFlowLimits limits_;
    BackendFlowCounts counts_;
    Flows flows_;
    std::size_t liveFlows_ = 0;
    std::vector<NewFlowRecord> newFlows_;
};

}
