#pragma once

#include "Forward/TokenRouter.h"
#include "Model/EventQueue.h"
#include "Model/ModelCallers.h"
#include "Model/ModelScenario.h"
#include "Model/ModelServer.h"

#include <absl/container/flat_hash_map.h>
#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wisteriadock {

std::string modelZoneName(std::uint32_t zone);

// All backend servers of a run, with the flows that they hold. They answer callers directly.
class ModelBackends {
public:
    ModelBackends(EventQueue&, const ModelScenario&, ModelCallers&, boost::random::mt19937_64& random);

    std::size_t size() const { return servers_.size(); }
    std::size_t indexOf(const std::string& id) const { return indexOfId_.at(id); }
    ModelServer& server(std::size_t index) { return *servers_[index].server; }

    // Tells a forwarder that starts what the store lists.
    void putListedServersInto(TokenRouter&) const;
    // Tells a router the true load of each server.
    void setTrueLoadsIn(TokenRouter&) const;
    // A packet that a forwarder sent on.
    void receive(std::size_t index, const TokenPacket&, ModelRequestId);
    // The server falls silent for good; lapsed runs when its entry has vanished from the store.
    void crash(std::size_t index, std::function<void()> onEntryExpired);

    // Requests that wait or run at all servers.
    std::uint32_t load() const;
    // The most requests that a server took over the mean of its service, of the service where that is worst.
    double busiestOverMean() const;

private:
    // A flow as its server sees it.
    struct Flow {
        ModelRequestId request = noModelRequest;
        bool isAnswered = false;
    };
    struct Server {
        std::unique_ptr<ModelServer> server;
        std::size_t service = 0;
        bool isListed = true;
        std::uint64_t revision = 0;
        absl::flat_hash_map<FlowEnds, Flow> flows {};
    };

    void handleRequest(std::size_t index, Flow&, const FlowEnds&, ModelRequestId);
    void reply(Duration after, std::function<void()> action);

    EventQueue& events_;
    const ModelScenario& scenario_;
    ModelCallers& callers_;
    std::vector<Server> servers_;
    absl::flat_hash_map<std::string, std::size_t> indexOfId_;
};

}
