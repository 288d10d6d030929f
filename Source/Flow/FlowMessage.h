#pragma once

#include "Core/Identifiers.h"
#include "Flow/FlowKey.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace wisteriadock {

// What flow engines say to each other while the table of a service changes (docs/design/flows.md has the sequence).
enum class FlowMessageKind : std::uint8_t {
    ReportRequest = 1, // Arbiter to member: stop deciding for the buckets that change, and tell me your flows in them.
    Report, // Member to arbiter: a part of those flows.
    ReportAck, // Arbiter to member: that part arrived.
    Hold, // Arbiter to member: I still wait for the reports of others; keep your promise.
    Switch, // Arbiter to member: from now on unknown flows get the new table's answer.
    Exceptions, // Arbiter to member: a part of the flows that stay where they are. Whoever holds all parts is settled.
    ExceptionsAck, // Member to arbiter: that part arrived.
    Busy, // Member to arbiter: I am bound to an earlier change, or others wait for exceptions that I hold; keep asking.
    Release, // Arbiter to member: I no longer lead this change; ask your view again.
    Handover, // A balancer that stops to the arbiter: a part of the flows that perhaps nobody else has seen.
    HandoverAck, // Arbiter to that balancer: that part arrived.
    SyncRequest, // Member to arbiter: I lack the exceptions of this service's newest table; send them.
};

std::string_view nameOf(FlowMessageKind);

// Flows that share a backend server.
struct FlowGroup {
    std::uint32_t backendServer = 0;
    std::vector<FlowKey> flows;

    bool operator==(const FlowGroup&) const = default;
    MSGPACK_DEFINE_ARRAY(backendServer, flows)
};

// How much of its weight a backend server gets, in thousandths.
struct WeightFactorEntry {
    std::uint32_t backendServer = 0;
    std::uint16_t permille = 0;

    bool operator==(const WeightFactorEntry&) const = default;
    MSGPACK_DEFINE_ARRAY(backendServer, permille)
};

// One message; the parts that a kind does not use stay empty. Bounded by flowsPerMessage.
struct FlowMessage {
    std::uint8_t kind = 0;
    std::uint32_t service = 0;
    // The table by which the sender decides on its own, 0 if it holds none.
    std::uint64_t settledGeneration = 0;
    // The newest table that, as far as the sender knows, an arbiter has switched to.
    std::uint64_t switchedGeneration = 0;
    // The table that the change leads to, and the factors that belong to it.
    std::uint64_t targetGeneration = 0;
    std::vector<WeightFactorEntry> factors;
    // Tells apart the lists that one sender cut at different times; it rises. Parts of two lists must never be mixed,
    // since each list is cut at other places.
    std::uint64_t listId = 0;
    // Parts are numbered from 0; an empty list is one empty part.
    std::uint32_t part = 0;
    std::uint32_t partCount = 0;
    std::vector<FlowGroup> groups;

    FlowMessageKind messageKind() const { return static_cast<FlowMessageKind>(kind); }
    bool operator==(const FlowMessage&) const = default;
    MSGPACK_DEFINE_ARRAY(kind, service, settledGeneration, switchedGeneration, targetGeneration, factors, listId, part,
        partCount, groups)
};

// The most flows in one message, so that it fits a datagram of 1200 bytes together with the factors.
inline constexpr std::size_t flowsPerMessage = 75;
// The most parts that one list may have; more is refused as garbage.
inline constexpr std::uint32_t maxParts = 1U << 16;

}
