#pragma once

#include "Core/Clock.h"
#include "StandIns/CallerFlowTypes.h"
#include "StandIns/FlowPayload.h"
#include "StandIns/SeededRandom.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

namespace wisteriadock {

// Generates the flows of simulated callers: decides when each flow is opened, sends a packet and ends, and checks every
// reply. The same options, times and replies give the same packets. Does no I/O; CallerStandIn sends the packets and
// passes the replies in.
class CallerFlows {
public:
    // `start` is the time at which the run starts.
    CallerFlows(CallerFlowOptions, TimePoint start);

    // Appends the packets that are due. To be called at nextEvent() or as soon as possible after it.
    void poll(TimePoint now, std::vector<CallerPacket>& due);

    // Opens no more flows and sends no more packets. Replies are still checked.
    void stop() { stopped_ = true; }

    // Checks one reply.
    void handle(const FlowPayload& reply, TimePoint now);

    // The time of the next action of poll(); TimePoint::max() for none.
    TimePoint nextEvent() const;

    const CallerFlowCounts& counts() const { return counts_; }
    // Broken flows in the order of their detection, up to maxBreaks of the options.
    const std::vector<FlowBreak>& breaks() const { return breaks_; }
    std::size_t openFlows() const { return flows_.size(); }

private:
    enum class Phase : std::uint8_t {
        Opening, // The opening packet is repeated until it is answered.
        Established,
        Ending, // The last packet was sent; its reply is still checked.
    };

    struct Flow {
        TimePoint end;
        // The server that answered first; unset before the flow is established.
        BackendServerId backendServer;
        std::uint32_t nextSequence = 0;
        // Index into the options' services.
        std::uint16_t service = 0;
        // Packets since the last reply.
        std::uint16_t unanswered = 0;
        Phase phase = Phase::Opening;
        bool startMark = false;
        bool hasIdlePeriods = false;
    };
    using Flows = absl::flat_hash_map<std::uint64_t, Flow>;

    struct Event {
        TimePoint at;
        std::uint64_t flow = 0;

        // Orders the queue: earliest first, then by id.
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : flow > other.flow; }
    };

    void openFlow(TimePoint now, std::vector<CallerPacket>& due);
    void processEvent(std::uint64_t id, TimePoint now, std::vector<CallerPacket>& due);
    void sendPacket(std::uint64_t id, Flow&, bool end, std::vector<CallerPacket>& due);
    void breakFlow(std::uint64_t id, FlowBreakKind, const FlowPayload* reply, TimePoint now);
    void establish(Flow&, const FlowPayload& reply);
    std::optional<FlowBreakKind> detectBreak(const Flow&, const FlowPayload& reply) const;
    Duration pauseAfterPacket(const Flow&, TimePoint now);
    Duration drawLifetime();
    std::uint16_t drawService();

    CallerFlowOptions options_;
    TimePoint start_;
    SeededRandom random_;
    TimePoint nextOpening_;
    std::uint64_t flowIdBase_;
    std::uint64_t flowCount_ = 0;
    bool stopped_ = false;
    Flows flows_;
    std::priority_queue<Event> events_;
    CallerFlowCounts counts_;
    std::vector<FlowBreak> breaks_;
};

// The simulated client endpoint of a flow, in 10.0.0.0/8.
Endpoint clientEndpointOf(std::uint64_t flow);

}
