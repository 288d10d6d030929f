#pragma once

#include "Core/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace wisteriadock {

// Whether a backend server accepts new flows, as it registers itself.
enum class ServerReadiness {
    Ready,
    Draining, // Keeps its open flows, accepts no new ones and stops soon.
};

// A backend server's entry in the store, written by the server itself. Each start of a server is a new incarnation,
// usually with a new id.
struct RegisteredServer {
    std::string id;
    // When the process started, in milliseconds since the Unix epoch by the server's clock; 0 if unknown. Entries of
    // one id with different values belong to different processes.
    std::uint64_t startedAt = 0;
    // The id as a number. Packets carry it, so that a server rejects those meant for an earlier server at its address.
    std::uint64_t number = 0;
    std::string service;
    Endpoint address;
    std::string availabilityZone;
    // For the log.
    std::string softwareVersion;
    // Number of requests that the server processes at the same time.
    std::uint32_t slots = 1;
    ServerReadiness readiness = ServerReadiness::Ready;
    // Remaining warm-up time, during which the server is slow, when the entry was written.
    std::chrono::milliseconds warmupLeft { 0 };

    bool operator==(const RegisteredServer&) const = default;
};

// Computes the return token of an incarnation, never 0. All balancers compute the same one. ServerDirectory resolves
// the rare case that two incarnations have the same token.
constexpr std::uint32_t tokenOf(std::uint64_t serverNumber)
{
    const auto folded = static_cast<std::uint32_t>(serverNumber ^ (serverNumber >> 32));
    return folded == 0 ? 1 : folded;
}

}
