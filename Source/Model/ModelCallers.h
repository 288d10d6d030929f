#pragma once

#include "Forward/TokenPacket.h"
#include "Model/EventQueue.h"
#include "Model/ModelResult.h"
#include "Model/ModelScenario.h"

#include <absl/container/flat_hash_map.h>
#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <vector>

namespace wisteriadock {

// Identifies a request within a run, counted from 1. Packets that carry no request have noModelRequest.
using ModelRequestId = std::uint64_t;
inline constexpr ModelRequestId noModelRequest = 0;

// The callers of a simulation run. They send requests as a Poisson process, reuse open flows or open one per request,
// retransmit what is not acknowledged, and retry as the kind of request allows. They count the outcome of each request.
class ModelCallers {
public:
    // Passes a packet to the routers of a zone.
    using Send = std::function<void(std::uint32_t zone, const TokenPacket&, ModelRequestId)>;

    ModelCallers(EventQueue&, const ModelScenario&, std::uint64_t seed, Send);

    // Schedules the first request of each kind.
    void start();
    // Multiplies the request rate of every kind.
    void setLoadFactor(double factor) { loadFactor_ = factor; }
    // The share (0 to 1) of the first zone's requests that come from the last zone instead.
    void setZoneShift(double share) { zoneShift_ = share; }

    // The server accepted the flow and issued the token that later packets carry.
    void handleOpened(const FlowEnds&, std::uint32_t token);
    void handleAnswer(const FlowEnds&, ModelRequestId);
    // The server rejected the request without running it, since its slots and queue are full.
    void handleRefusal(const FlowEnds&, ModelRequestId);
    void handleReset(const FlowEnds&);

    // The processing time of the request at a server of normal speed.
    Duration workOf(ModelRequestId request) const { return requests_[request - 1].work; }
    const ModelResult& result() const { return result_; }

private:
    struct Flow {
        std::uint32_t zone = 0;
        std::uint32_t caller = 0;
        std::size_t kind = 0;
        std::uint32_t token = 0;
        bool isOpen = false;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledgement = 0;
        // The request in progress, and the number of requests that this flow has carried.
        ModelRequestId request = noModelRequest;
        std::uint64_t requestNumber = 0;
    };
    struct Request {
        std::size_t kind = 0;
        std::uint32_t zone = 0;
        std::uint32_t caller = 0;
        TimePoint requestedAt;
        Duration work {};
        std::uint32_t attempts = 0;
        bool isFinished = false;
    };
    // Zone, caller and kind of request: flows are reused only within one key.
    using PoolKey = std::tuple<std::uint32_t, std::uint32_t, std::size_t>;

    void scheduleNext(std::size_t kind);
    void startRequest(std::size_t kind);
    void startAttempt(ModelRequestId, bool onNewFlow);
    void openFlow(ModelRequestId);
    void sendOpening(const FlowEnds&, std::uint32_t copies);
    void sendRequest(const FlowEnds&, std::uint64_t requestNumber, Duration interval);
    void sendAcknowledgement(const FlowEnds&, const Flow&, bool finishes);
    // Starts another attempt if allowed; otherwise finishes the request with the given outcome.
    void retry(ModelRequestId, bool mayRepeat, ModelOutcome finalOutcome);
    void finish(ModelRequestId, ModelOutcome);
    void close(const FlowEnds&);
    Flow* find(const FlowEnds&);
    Request& requestOf(ModelRequestId request) { return requests_[request - 1]; }
    const ModelRequestKind& kindOf(const Request& request) const { return scenario_.requestKinds[request.kind]; }
    FlowEnds newEnds(const Request&);

    EventQueue& events_;
    const ModelScenario& scenario_;
    boost::random::mt19937_64 random_;
    Send send_;
    TimePoint startedAt_;
    double loadFactor_ = 1;
    double zoneShift_ = 0;
    std::uint64_t nextPort_ = 0;
    absl::flat_hash_map<FlowEnds, Flow> flows_;
    std::map<PoolKey, std::vector<FlowEnds>> idleFlows_;
    std::vector<Request> requests_;
    ModelResult result_;
};

// The route address of the requests of a kind.
Endpoint modelRouteOf(std::size_t kind);

}
