#pragma once

#include "Core/Identifiers.h"
#include "Flow/FlowKey.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace wisteriadock {

// Messages between flow engines during a change of a service's table; docs/design/flows.md describes the sequence. The
// arbiter is the balancer that coordinates the change, the members are the other balancers.
enum class FlowMessageKind : std::uint8_t {
    ReportRequest = 1, // Arbiter to member: forward unknown flows of changed buckets, report flows that would move.
    Report, // Member to arbiter: one part of the known flows that the new table would move.
    ReportAck, // Arbiter to member: acknowledges one part of a report.
    Hold, // Arbiter to member: other reports are still missing; the promise stays in effect.
    Switch, // Arbiter to member: unknown flows are now routed by the new table.
    Exceptions, // Arbiter to member: one part of the exceptions. A member that has all parts is settled.
    ExceptionsAck, // Member to arbiter: acknowledges one part of the exceptions.
    Busy, // Member to arbiter: an earlier change, report or delivery of exceptions is in progress; ask again.
    Release, // Arbiter to member: the change is cancelled, and with it the promise.
    Handover, // Stopping balancer to arbiter: one part of the flows that no other balancer may have seen.
    HandoverAck, // Arbiter to stopping balancer: acknowledges one part of a handover.
    SyncRequest, // Member to arbiter: requests the exceptions of the newest table.
};

std::string_view nameOf(FlowMessageKind);

// Flows of one backend server.
struct FlowGroup {
    std::uint32_t backendServer = 0;
    std::vector<FlowKey> flows;

    bool operator==(const FlowGroup&) const = default;
    MSGPACK_DEFINE_ARRAY(backendServer, flows)
};

// The weight factor of a backend server, in thousandths of its configured weight.
struct WeightFactorEntry {
    std::uint32_t backendServer = 0;
    std::uint16_t permille = 0;

    bool operator==(const WeightFactorEntry&) const = default;
    MSGPACK_DEFINE_ARRAY(backendServer, permille)
};

// One message. Fields that a kind does not use stay empty. At most flowsPerMessage flows.
struct FlowMessage {
    std::uint8_t kind = 0;
    std::uint32_t service = 0;
    // The generation of the table by which the sender routes unknown flows itself; 0 if it has none.
    std::uint64_t settledGeneration = 0;
    // The newest generation that an arbiter has switched to, as far as the sender knows.
    std::uint64_t switchedGeneration = 0;
    // The generation that this message is about, and the weight factors of its table.
    std::uint64_t targetGeneration = 0;
    std::vector<WeightFactorEntry> factors;
    // Identifies the list of flows that the part belongs to; increases with each list of a sender. Parts of different
    // lists must never be combined, since each list is split at other flows.
    std::uint64_t listId = 0;
    // The index of the part, from 0, and the number of parts. An empty list has one empty part.
    std::uint32_t part = 0;
    std::uint32_t partCount = 0;
    std::vector<FlowGroup> groups;

    FlowMessageKind messageKind() const { return static_cast<FlowMessageKind>(kind); }
    bool operator==(const FlowMessage&) const = default;
    MSGPACK_DEFINE_ARRAY(kind, service, settledGeneration, switchedGeneration, targetGeneration, factors, listId, part,
        partCount, groups)
};

// Maximum number of flows per message, so that with the factors it fits into a datagram of 1200 bytes.
inline constexpr std::size_t flowsPerMessage = 75;
// Maximum number of parts per list. Messages that state more are rejected.
inline constexpr std::uint32_t maxParts = 1U << 16;

}
