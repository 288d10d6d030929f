#pragma once

#include "Core/Endpoint.h"
#include "Core/Identifiers.h"
#include "Core/NameTable.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// Whether a backend server takes new work.
enum class BackendServerState {
    Active, // Takes new flows and requests.
    Draining, // Keeps what it has and takes nothing new.
};

std::string_view nameOf(BackendServerState);

// The names of the states in files.
constexpr auto backendServerStateNames = makeNameTable<BackendServerState>({
    { BackendServerState::Active, "active" },
    { BackendServerState::Draining, "draining" },
});

// One service: the address its callers use and the rules by which its traffic is shared.
struct Service {
    std::string name;
    ServiceId id;
    Endpoint address;
    // 0 keeps every flow where it is and accepts uneven load; 1 keeps load even at the cost of more moved buckets.
    double evenness = 0.5;
    // The share of backend servers that always stays in use, however many look unhealthy (0 to 1).
    double panicThreshold = 0.5;
    // Idle time after which a flow counts as ended, in seconds.
    std::uint32_t flowIdleSeconds = 300;
    // Objective for the service-level burn report: the share of flows and requests that must end well (0 to 1).
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
    // Requests that it runs at once.
    std::uint32_t slots = 2;
    // Flows that it carries at once.
    std::uint32_t connections = 2000;
    // Its share of new work relative to the others of its service.
    std::uint32_t weight = 100;
    BackendServerState state = BackendServerState::Active;
    // Seconds over which a server that is new to its service ramps up to its full weight; 0 for at once.
    std::uint32_t slowStartSeconds = 0;

    bool operator==(const BackendServer&) const = default;
};

// What the operators declared, checked whole. Services and servers are sorted by name.
struct Configuration {
    std::vector<Service> services;
    std::vector<BackendServer> backendServers;

    // Look-ups by name are binary searches, those by identifier linear ones. Null when there is no such entry.
    const Service* findService(std::string_view name) const;
    const Service* findService(ServiceId) const;
    const BackendServer* findBackendServer(std::string_view name) const;
    const BackendServer* findBackendServer(BackendServerId) const;

    bool operator==(const Configuration&) const = default;
};

}
