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
    Report = 1, // Member to arbiter: a part of the flows that the change would move, as far as the member knows them.
    ReportAck, // Arbiter to member: that part arrived.
    Switch, // Arbiter to members: from now on unknown flows get the new table's answer.
    Exceptions, // Arbiter to member: a part of the flows that stay where they are.
    ExceptionsAck, // Member to arbiter: that part arrived.
    Settle, // Arbiter to member: you hold all exceptions; decide by the new table on your own.
    SettleAck, // Member to arbiter: done.
    Release, // Arbiter to members: I am not the arbiter of this change; ask your view again.
    SyncRequest, // Member to arbiter: I do not know this service's exceptions; send them.
};

std::string_view nameOf(FlowMessageKind);

// Flows that share a backend server.
struct FlowGroup {
    std::uint32_t backendServer = 0;
    std::vector<FlowKey> flows;

    bool operator==(const FlowGroup&) const = default;
    MSGPACK_DEFINE_ARRAY(backendServer, flows)
};

// One message; the parts that a kind does not use stay empty. Bounded by flowsPerMessage.
struct FlowMessage {
    std::uint8_t kind = 0;
    std::uint32_t service = 0;
    // The table that the change starts from, 0 if the sender holds none, and the one it leads to.
    std::uint64_t settledGeneration = 0;
    std::uint64_t targetGeneration = 0;
    // Parts are numbered from 0; an empty list is one empty part.
    std::uint32_t part = 0;
    std::uint32_t partCount = 0;
    // In reports: whether the sender knows that an arbiter has switched this change already.
    bool switched = false;
    std::vector<FlowGroup> groups;

    FlowMessageKind messageKind() const { return static_cast<FlowMessageKind>(kind); }
    bool operator==(const FlowMessage&) const = default;
    MSGPACK_DEFINE_ARRAY(kind, service, settledGeneration, targetGeneration, part, partCount, switched, groups)
};

// The most flows in one message, so that it fits a datagram of 1200 bytes.
inline constexpr std::size_t flowsPerMessage = 100;

}
