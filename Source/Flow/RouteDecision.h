#pragma once

#include "Core/Endpoint.h"
#include "Core/Identifiers.h"

#include <cstdint>
#include <string_view>

namespace wisteriadock {

// What the packet path knows about one packet of a flow.
struct FlowPacket {
    Endpoint client;
    Endpoint serviceAddress;
    // The balancer that handed the packet on, and how often that happened; unset for packets from the fabric.
    BalancerId forwardedBy;
    std::uint8_t hops = 0;
    // True only if the packet's own format marks it as the first of a flow. False says nothing.
    bool startsFlow = false;
};

enum class RouteKind {
    ToBackendServer, // Send it to the server's flow address.
    ToBalancer, // Hand it to the arbiter, with a forward mark.
    Drop, // Count it under its reason.
};

enum class DropReason {
    None,
    UnknownAddress, // No service has this address.
    NoBackendServer, // The service has no server that takes flows.
    NoArbiter, // Only another balancer could tell, and none can be reached.
    TooManyHops, // Two balancers each took the other for the arbiter.
    AwaitingContact, // This balancer was paused and has not heard from any other since.
};

std::string_view nameOf(DropReason);

struct RouteDecision {
    RouteKind kind = RouteKind::Drop;
    DropReason dropReason = DropReason::None;
    // The server's or the other balancer's flow address.
    Endpoint destination;
    ServiceId service;
    BackendServerId backendServer;
};

}
