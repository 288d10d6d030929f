#pragma once

#include "Forward/TokenRouter.h"
#include "Model/EventQueue.h"
#include "Model/ModelPolicy.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace wisteriadock {

// A forwarder in simulated time: the product's TokenRouter behind a processor that handles one packet after the other.
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

    // Serves with the routes of this configuration and no memory of anything.
    void start(const ForwardingConfiguration&);
    // Forgets everything; what is in its processor is lost.
    void kill();
    bool isUp() const { return router_ != nullptr; }
    // Null while it is down.
    TokenRouter* router() { return router_.get(); }
    const std::string& zone() const { return zone_; }

    // The decision is made when the processor gets to the packet, and not at all when the forwarder is down or ends.
    // prepare runs just before it.
    void handle(const TokenPacket&, std::function<void()> prepare, DecisionHandler);
    void tick();

private:
    EventQueue& events_;
    std::string zone_;
    const ModelPolicy& policy_;
    Duration packetTime_;
    std::unique_ptr<TokenRouter> router_;
    std::uint64_t generation_ = 0;
    TimePoint idleAt_ = TimePoint::min();
};

}
