#pragma once

#include "Forward/TokenRouter.h"
#include "Model/EventQueue.h"
#include "Model/ModelPolicy.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace wisteriadock {

// A forwarder in simulated time: the production TokenRouter behind a processor that handles packets one at a time. A
// simulation run starts, kills and ticks it and passes packets to it.
class ModelForwarder {
public:
    using DecisionHandler = std::function<void(const PacketDecision&)>;

    ModelForwarder(EventQueue& events, std::string zone, const ModelPolicy& policy, Duration packetTime)
        : events_(events)
        , zone_(std::move(zone))
        , policy_(policy)
        , packetTime_(packetTime)
    {
    }

    // Starts with an empty TokenRouter that has only the routes of this configuration.
    void start(const ForwardingConfiguration&);
    // Drops all state and the packets that wait for the processor.
    void kill();
    bool isUp() const { return router_ != nullptr; }
    // Null while the forwarder is down.
    TokenRouter* router() { return router_.get(); }
    const std::string& zone() const { return zone_; }

    // Routes the packet once the processor reaches it: `prepare` runs, then `decide` with the decision. Neither runs if
    // the forwarder is down or killed before that.
    void handle(const TokenPacket&, std::function<void()> prepare, DecisionHandler);
    void tick();

private:
    EventQueue& events_;
    std::string zone_;
    const ModelPolicy& policy_;
    Duration packetTime_; // Processor time per packet.
    std::unique_ptr<TokenRouter> router_;
    std::uint64_t generation_ = 0; // Counts kills; packets queued before a kill are dropped.
    // When the processor has handled all queued packets.
    TimePoint idleAt_ = TimePoint::min();
};

}
