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
    // The maximum number of concurrent flows; packets that would open more are not answered.
    std::size_t connections = 2000;
    // The maximum number of NewFlowRecords.
    std::size_t maxNewFlowRecords = 500'000;
    // A flow without packets is removed after this time.
    Duration idleTimeout = std::chrono::seconds(300);
    // How long an ended flow is kept, so that its late packets are not reported as those of an unknown flow.
    Duration endedFlowRetention = std::chrono::seconds(5);
};

struct BackendFlowCounts {
    std::uint64_t packets = 0;
    std::uint64_t newFlows = 0;
    std::uint64_t unknownFlowPackets = 0;
    std::uint64_t wrongServicePackets = 0;
    // Opening packets that were not answered because of a limit on flows.
    std::uint64_t refusedFlows = 0;
    // New flows without a NewFlowRecord because of maxNewFlowRecords.
    std::uint64_t droppedRecords = 0;
    // The highest number of flows that were open at the same time.
    std::size_t peakFlows = 0;
};

struct NewFlowRecord {
    std::uint64_t flow = 0;
    TimePoint firstSeen;
};

// The flow table of one simulated backend server. Like a TCP stack, it creates a flow only for an opening packet and
// rejects packets of unknown flows. Does no I/O; BackendStandInServer receives the packets and sends the replies.
class BackendFlowTable {
public:
    BackendFlowTable(BackendServerId, ServiceId, BackendFlowLimits);

    // Returns the reply to a packet, or none when a limit on flows is reached.
    std::optional<FlowPayload> handle(const FlowPayload& packet, TimePoint now);

    // Removes flows after idleTimeout and ended flows after endedFlowRetention. To be called at least once a second.
    void expire(TimePoint now);

    // The number of flows that are open.
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
