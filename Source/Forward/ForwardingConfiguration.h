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

// A service that gets a weighted share of a route's new flows.
struct RouteShare {
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const RouteShare&) const = default;
};

// A virtual address and port that callers connect to, and the services that get its new flows.
struct FlowRoute {
    std::string name;
    Endpoint address;
    std::vector<RouteShare> shares;
    // The answer time that callers expect; zero if operators configured none.
    std::chrono::milliseconds targetLatency { 0 };
    // The urgency of the route's requests; 0 is the most urgent.
    std::uint32_t priority = 0;

    bool operator==(const FlowRoute&) const = default;
};

// One version of the operators' configuration, limited to what the forwarder uses.
struct ForwardingConfiguration {
    std::uint64_t version = 0;
    std::vector<FlowRoute> routes;
    // Flows without packets for this time may be dropped.
    std::chrono::milliseconds idleTimeout { 0 };
    // Services that are missing here have no limit.
    ColdStartLimits coldStartLimits {};
    // The services that operators list. Routes may name others.
    absl::flat_hash_set<std::string> services {};
};

// The difference between the configuration in use and a newer version, or a complete newer version.
struct ConfigurationChange {
    std::uint64_t version = 0;
    std::chrono::milliseconds idleTimeout { 0 };
    // Complete, also in a difference.
    ColdStartLimits coldStartLimits {};
    absl::flat_hash_set<std::string> services {};
    // routes holds all routes of the version. Otherwise it holds only the new and changed ones.
    bool isWhole = false;
    std::vector<FlowRoute> routes;
    std::vector<Endpoint> removed;
    // Number of routes of the version.
    std::size_t total = 0;
};

// What the routes of one service require.
struct ServiceRequirements {
    // The different priorities of its routes, the most urgent first.
    std::vector<std::uint32_t> priorities {};
    // The shortest one of its routes; zero if none has one.
    std::chrono::milliseconds targetLatency { 0 };
};

// The routes of the current configuration, keyed by address. TokenRouter looks up every opening packet in it.
class RouteTable {
public:
    void replace(const ForwardingConfiguration&);
    void apply(ConfigurationChange&&);

    // Returns null if no route has the address.
    const FlowRoute* find(Endpoint) const;
    // Returns whether the current or an earlier configuration sends new flows of this address to the service.
    bool hasRoutedTo(Endpoint address, const std::string& service) const;
    // Returns nothing special for a service that no route names.
    ServiceRequirements requirementsOf(const std::string& service) const;
    std::size_t size() const { return routes_.size(); }

private:
    void addFormerServices(const FlowRoute& former);

    absl::flat_hash_map<Endpoint, FlowRoute> routes_;
    // By service. Empty after a change of the routes, until it is needed.
    mutable absl::flat_hash_map<std::string, ServiceRequirements> requirements_;
    // Services that got new flows of an address under an earlier configuration only; open flows stay there.
    absl::flat_hash_map<Endpoint, absl::flat_hash_set<std::string>> formerServices_;
};

// Picks the service of a new flow in proportion to the weights. The result depends only on the flow and the route, so
// every balancer picks the same service for all copies of an opening packet. Returns null if all weights are zero.
const std::string* serviceOf(const FlowRoute&, const FlowEnds&);

}
