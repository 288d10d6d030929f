#pragma once

#include "Core/Endpoint.h"
#include "Forward/ColdStartLimit.h"
#include "Forward/TokenPacket.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriadock {

// A service that takes part of a route's new flows.
struct RouteShare {
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const RouteShare&) const = default;
};

// An address and port that callers use, and where its new flows go.
struct FlowRoute {
    std::string name;
    Endpoint address;
    std::vector<RouteShare> shares;
    // How soon callers want their answers; zero where operators say nothing.
    std::chrono::milliseconds targetLatency { 0 };

    bool operator==(const FlowRoute&) const = default;
};

// One version of the operators' configuration, as far as flows need it.
struct ForwardingConfiguration {
    std::uint64_t version = 0;
    std::vector<FlowRoute> routes;
    // A flow that carried nothing for so long may be forgotten.
    std::chrono::milliseconds idleTimeout { 0 };
    // Services that are not named have no rate for their cold servers.
    ColdStartLimits coldStartLimits {};
};

// What a version of the configuration changes.
struct ConfigurationChange {
    std::uint64_t version = 0;
    std::chrono::milliseconds idleTimeout { 0 };
    // All there are.
    ColdStartLimits coldStartLimits {};
    // The routes are all there are. Otherwise they are those that are new or changed, and the others stay.
    bool isWhole = false;
    std::vector<FlowRoute> routes;
    std::vector<Endpoint> removed;
    // How many routes the version has.
    std::size_t total = 0;
};

// Finds routes by address.
class RouteTable {
public:
    void replace(const ForwardingConfiguration&);
    void apply(ConfigurationChange&&);

    // Null when no route has the address.
    const FlowRoute* find(Endpoint) const;
    // Whether this or an earlier configuration sent new flows of this address to the service.
    bool hasRoutedTo(Endpoint address, const std::string& service) const;
    std::size_t size() const { return routes_.size(); }

private:
    void noteFormerServices(const FlowRoute& former);

    absl::flat_hash_map<Endpoint, FlowRoute> routes_;
    // Services that an address led to and no longer does; open flows stay there.
    absl::flat_hash_map<Endpoint, absl::flat_hash_set<std::string>> formerServices_;
};

// The service of a new flow, in proportion to the weights. It depends on the flow and the route alone, so copies of an
// opening packet get the same service at every balancer. Null when no share has a weight.
const std::string* serviceOf(const FlowRoute&, const FlowEnds&);

}
