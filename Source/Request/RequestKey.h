#pragma once

#include "Core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// 128-bit hash that identifies a key in tables and messages.
struct KeyDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const KeyDigest&) const = default;

    template <typename HashState> friend HashState AbslHashValue(HashState state, const KeyDigest& digest)
    {
        return HashState::combine(std::move(state), digest.high, digest.low);
    }
};

// A parsed Idempotency-Key. Three forms are accepted, with or without double quotes:
//   "<text>"                    the home availability zone is chosen by hash over the fixed list of zones
//   "<zone>.<text>"             the home availability zone is named
//   "<zone>.e<epoch>.<random>"  a ticket: issued by a balancer of that zone under that ownership epoch
// The home zone never depends on which balancers are up: balancers with the same settings always agree on it.
struct RequestKey {
    KeyDigest digest;
    // Index into the fixed list of availability zones.
    std::uint32_t homeZone = 0;
    // The ownership epoch under which a ticket was issued; 0 for a key chosen by the caller.
    std::uint64_t issuedEpoch = 0;

    bool isTicket() const { return issuedEpoch != 0; }

    // Fails with InvalidArgument; the detail says what was expected.
    static Result<RequestKey> parse(std::string_view text, const std::vector<std::string>& zones);

    bool operator==(const RequestKey&) const = default;
};

// Formats a ticket. The two random words must be unpredictable for callers.
std::string makeTicket(std::string_view zone, std::uint64_t epoch, std::uint64_t high, std::uint64_t low);

}
