#pragma once

#include "Core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// 128 bits that stand for a key's text in tables and messages.
struct KeyDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const KeyDigest&) const = default;

    template <typename HashState> friend HashState AbslHashValue(HashState state, const KeyDigest& digest)
    {
        return HashState::combine(std::move(state), digest.high, digest.low);
    }
};

// An Idempotency-Key, read. Three forms are taken, bare or in double quotes:
//   "<anything>"                home availability zone by hash over the fixed list of zones
//   "<zone>.<anything>"         home availability zone named
//   "<zone>.e<epoch>.<random>"  a ticket: issued by a balancer of that zone under that ownership epoch
// The home never depends on who is alive: two balancers with the same settings always agree on it.
struct RequestKey {
    KeyDigest digest;
    // Index into the fixed list of availability zones.
    std::uint32_t homeZone = 0;
    // The ownership epoch under which a ticket was issued; 0 for a key of the caller's own making.
    std::uint64_t issuedEpoch = 0;

    bool isTicket() const { return issuedEpoch != 0; }

    // Fails with InvalidArgument; the detail names the text and what was expected.
    static Result<RequestKey> parse(std::string_view text, const std::vector<std::string>& zones);

    bool operator==(const RequestKey&) const = default;
};

// Writes the text of a ticket. The two words come from a source of randomness that callers can't guess.
std::string makeTicket(std::string_view zone, std::uint64_t epoch, std::uint64_t high, std::uint64_t low);

}
