#pragma once

#include "Core/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace wisteriadock {

// Whether a backend server takes new flows, as it says itself.
enum class ServerReadiness {
    Ready,
    Draining, // Keeps its flows, takes no new ones, and stops soon.
};

// What a backend server registers about itself. Each start of a server is a new incarnation, as a rule with a new id.
struct RegisteredServer {
    std::string id;
    // When the process started, in milliseconds since 1970 by its own clock; 0 where entries don't tell. Of two that
    // differ under one id, each is a process of its own.
    std::uint64_t startedAt = 0;
    // The id as a number: packets are addressed to it, so that a server never takes those of an earlier one at its
    // address.
    std::uint64_t number = 0;
    std::string service;
    Endpoint address;
    std::string availabilityZone;
    // The version of the server's software, for logs.
    std::string softwareVersion;
    // How many requests it works on at the same time.
    std::uint32_t slots = 1;
    ServerReadiness readiness = ServerReadiness::Ready;
    // For how much longer it is slow after its start.
    std::chrono::milliseconds warmupLeft { 0 };

    bool operator==(const RegisteredServer&) const = default;
};

// The return token of an incarnation, never 0. All balancers compute the same one without asking anybody. Two
// incarnations have the same token about once in four billion pairs; ServerDirectory says what happens then.
constexpr std::uint32_t tokenOf(std::uint64_t serverNumber)
{
    const auto folded = static_cast<std::uint32_t>(serverNumber ^ (serverNumber >> 32));
    return folded == 0 ? 1 : folded;
}

}
