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

// All backend servers of a simulation run and the flows open at each. A run delivers forwarded packets to receive();
// the servers reply to the callers directly, bypassing the forwarders.
class ModelBackends {
public:
    ModelBackends(EventQueue&, const ModelScenario&, ModelCallers&, boost::random::mt19937_64& random);

    std::size_t size() const { return servers_.size(); }
    std::size_t indexOf(const std::string& id) const { return indexOfId_.at(id); }
    ModelServer& server(std::size_t index) { return *servers_[index].server; }

    // Adds the servers that the store lists to the router of a forwarder that starts.
    void putListedServersInto(TokenRouter&) const;
    // Overwrites the load that the router has observed of each server with the true load, in requests.
    void setTrueLoadsIn(TokenRouter&) const;
    // Handles a packet that a forwarder sent to the server.
    void receive(std::size_t index, const TokenPacket&, ModelRequestId);
    // Crashes the server for the rest of the run: it ignores all packets. onEntryExpired runs when its entry has
    // expired in the store.
    void crash(std::size_t index, std::function<void()> onEntryExpired);

    // The number of requests queued or running at all servers.
    std::uint32_t load() const;
    // The requests accepted by the busiest server of a service divided by the mean of that service's servers; the
    // largest such ratio of all services.
    double busiestOverMean() const;

private:
    // The state of a flow at its server.
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
