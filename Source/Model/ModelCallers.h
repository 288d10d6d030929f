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

// Names a request within a run; none for packets that begin no request.
using ModelRequestId = std::uint64_t;
inline constexpr ModelRequestId noModelRequest = 0;

// The callers: they ask at random, keep flows open or open one for each request, send again what is not acknowledged,
// and try again as their kind of request allows. The timing is that of the users' platform.
class ModelCallers {
public:
    // Hands a packet to the routers of a zone.
    using Send = std::function<void(std::uint32_t zone, const TokenPacket&, ModelRequestId)>;

    ModelCallers(EventQueue&, const ModelScenario&, std::uint64_t seed, Send);

    // Begins to ask.
    void start();
    void setLoadFactor(double factor) { loadFactor_ = factor; }
    // A share of the first zone's requests comes from the last one.
    void setZoneShift(double share) { zoneShift_ = share; }

    void handleOpened(const FlowEnds&, std::uint32_t token);
    void handleAnswer(const FlowEnds&, ModelRequestId);
    // The server's slots and queue are full: it did not run the request and says so.
    void handleRefusal(const FlowEnds&, ModelRequestId);
    void handleReset(const FlowEnds&);

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
        // The request in progress, and how often this flow has had one.
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
    // A caller's kept flows of one kind: zone, caller, kind.
    using PoolKey = std::tuple<std::uint32_t, std::uint32_t, std::size_t>;

    void scheduleNext(std::size_t kind);
    void startRequest(std::size_t kind);
    void startAttempt(ModelRequestId, bool onNewFlow);
    void openFlow(ModelRequestId);
    void sendOpening(const FlowEnds&, std::uint32_t copies);
    void sendRequest(const FlowEnds&, std::uint64_t requestNumber, Duration interval);
    void sendAcknowledgement(const FlowEnds&, const Flow&, bool finishes);
    // The try ended without an answer; the caller may try again.
    void retry(ModelRequestId, bool mayRepeat, ModelOutcome otherwise);
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

// The address by which the requests of a kind enter.
Endpoint modelRouteOf(std::size_t kind);

}
