#pragma once

#include "Core/Endpoint.h"
#include "Core/Identifiers.h"
#include "Core/NameTable.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The state that the operator declares for a backend server.
enum class BackendServerState {
    Active, // Takes new flows and requests.
    Draining, // Finishes its existing flows and requests and takes no new ones.
};

std::string_view nameOf(BackendServerState);

// The names of the states in configuration files.
constexpr auto backendServerStateNames = makeNameTable<BackendServerState>({
    { BackendServerState::Active, "active" },
    { BackendServerState::Draining, "draining" },
});

// One service: the address that its callers use and the parameters of load balancing.
struct Service {
    std::string name;
    ServiceId id;
    Endpoint address;
    // From 0 (flows stay where they are and the load may be uneven) to 1 (the load is kept even at the cost of more
    // moved buckets).
    double evenness = 0.5;
    // The share of backend servers that stays in use even if more of them look unhealthy (0 to 1).
    double panicThreshold = 0.5;
    // The idle time in seconds after which a flow counts as ended.
    std::uint32_t flowIdleSeconds = 300;
    // The service-level objective for the burn rate: the share of flows and requests that must succeed (0 to 1).
    double objective = 0.999;

    bool operator==(const Service&) const = default;
};

// One backend server of one service.
struct BackendServer {
    std::string name;
    BackendServerId id;
    ServiceId service;
    Endpoint flowAddress;
    Endpoint requestAddress;
    std::string availabilityZone;
    // The most requests that it handles concurrently.
    std::uint32_t slots = 2;
    // The most concurrent flows.
    std::uint32_t connections = 2000;
    // Its share of new flows and requests relative to the other backend servers of its service.
    std::uint32_t weight = 100;
    BackendServerState state = BackendServerState::Active;
    // Seconds over which a backend server that is new to its service ramps up to its full weight; 0 to start at full
    // weight.
    std::uint32_t slowStartSeconds = 0;

    bool operator==(const BackendServer&) const = default;
};

// The services and backend servers declared by the operators, after all checks. Both lists are sorted by name.
struct Configuration {
    std::vector<Service> services;
    std::vector<BackendServer> backendServers;

    // Lookup by name is a binary search, by identifier a linear one. Null if there is no such entry.
    const Service* findService(std::string_view name) const;
    const Service* findService(ServiceId) const;
    const BackendServer* findBackendServer(std::string_view name) const;
    const BackendServer* findBackendServer(BackendServerId) const;

    bool operator==(const Configuration&) const = default;
};

}
