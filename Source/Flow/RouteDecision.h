#pragma once

#include "Core/Endpoint.h"
#include "Core/Identifiers.h"

#include <cstdint>
#include <string_view>

namespace wisteriadock {

// The properties of a packet by which FlowEngine::route() selects its destination.
struct FlowPacket {
    Endpoint client;
    Endpoint serviceAddress;
    // The balancer that forwarded the packet, and how often balancers forwarded it; unset and 0 for packets from the
    // network fabric.
    BalancerId forwardedBy;
    std::uint8_t hops = 0;
    // True if the packet format marks this packet as the first of its flow. False if it does not, or if the format has
    // no such mark.
    bool startsFlow = false;
};

enum class RouteKind {
    ToBackendServer, // Send the packet to the flow address of the server.
    ToBalancer, // Forward the packet to the arbiter, with the forwarding header.
    Drop, // Drop the packet and count it by reason.
};

enum class DropReason {
    None,
    UnknownAddress, // No service has this address.
    NoBackendServer, // The service has no server that takes the flow.
    NoArbiter, // Only the arbiter may route the flow, and none is known, or it has no table to route by yet.
    TooManyHops, // The packet was forwarded too often, because balancers disagree on the arbiter.
    AwaitingContact, // This balancer was paused or isolated and has had no contact with another balancer since.
};

std::string_view nameOf(DropReason);

// The destination of one packet, or the reason for dropping it.
struct RouteDecision {
    RouteKind kind = RouteKind::Drop;
    DropReason dropReason = DropReason::None;
    // The flow address of the backend server or of the arbiter; unset for a dropped packet.
    Endpoint destination;
    ServiceId service;
    BackendServerId backendServer;
};

}
