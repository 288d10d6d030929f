#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriadock {

// The status of a member in a row. The numeric values are on the wire.
enum class RowStatus : std::uint8_t {
    Joining = 0,
    Serving = 1,
    Leaving = 2,
    Dead = 3,
    Left = 4, // Stopped answering after it announced that it was leaving.
    Detached = 5,
};

// The properties of a member that are constant during one incarnation.
struct MemberDetails {
    std::string name;
    std::string availabilityZone;
    std::uint32_t peerHost = 0;
    std::uint16_t peerPort = 0;
    std::uint32_t flowHost = 0;
    std::uint16_t flowPort = 0;
    std::uint32_t requestHost = 0;
    std::uint16_t requestPort = 0;
    // Mbit/s; 0 if unknown.
    std::uint32_t linkMegabits = 0;

    MSGPACK_DEFINE_ARRAY(
        name, availabilityZone, peerHost, peerPort, flowHost, flowPort, requestHost, requestPort, linkMegabits);
};

// The state of one member as one balancer reports it to another. Of two rows of a member the one with the higher
// incarnation is newer, then the one with the higher sequence, which only the member itself raises. At the same
// sequence a suspicion or a death overrides an alive status.
struct MemberRow {
    std::uint32_t id = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    std::uint8_t status = 0;
    bool suspected = false;
    std::uint64_t configurationVersion = 0;
    // At most one element.
    std::vector<MemberDetails> details;

    MSGPACK_DEFINE_ARRAY(id, incarnation, sequence, status, suspected, configurationVersion, details);
};

// A probe, or the answer to one, with piggybacked gossip. The sender can derive the send time from a nonce
// (NonceClock), so an echo of it proves contact in both directions since then. A heartbeat without an echo proves only
// one direction.
struct HeartbeatMessage {
    std::uint32_t nonce = 0;
    // The newest nonce received from the receiver, or 0.
    std::uint32_t echo = 0;
    bool wantsAnswer = false;
    bool wantsDetails = false;
    // The sender's own row. Its id and incarnation are in the envelope.
    std::uint32_t sequence = 0;
    std::uint8_t status = 0;
    std::uint64_t configurationVersion = 0;
    // The number of members that the sender knows, dead or alive. A receiver that knows far fewer starts a catch-up.
    std::uint32_t membersKnown = 0;
    std::vector<MemberDetails> details;
    std::vector<MemberRow> rows;

    MSGPACK_DEFINE_ARRAY(
        nonce, echo, wantsAnswer, wantsDetails, sequence, status, configurationVersion, membersKnown, details, rows);
};

// Asks the receiver to probe the target and to send a ProbeResultMessage if the target answers.
struct ProbeRequestMessage {
    std::uint32_t target = 0;
    std::uint32_t nonce = 0;

    MSGPACK_DEFINE_ARRAY(target, nonce);
};

// Reports that the target of an indirect probe answered.
struct ProbeResultMessage {
    std::uint32_t target = 0;
    std::uint64_t targetIncarnation = 0;
    // The nonce of the request.
    std::uint32_t nonce = 0;

    MSGPACK_DEFINE_ARRAY(target, targetIncarnation, nonce);
};

// Requests rows with details: of `ids`, or of the members after the id `after` if `ids` is empty.
struct MembersRequestMessage {
    std::uint32_t after = 0;
    std::vector<std::uint32_t> ids;
    // Whether the sender can decompress rows; balancers of earlier versions cannot.
    bool acceptsCompressed = false;

    MSGPACK_DEFINE_ARRAY(after, ids, acceptsCompressed);
};

// The answer to a MembersRequestMessage.
struct MembersPageMessage {
    // Copied from the request.
    std::uint32_t after = 0;
    // True if the request named ids.
    bool named = false;
    // True if no row follows this page.
    bool last = false;
    std::vector<MemberRow> rows;
    // An array of rows encoded by encodeMessage() and compressed; used instead of `rows`.
    std::string compressedRows {};

    MSGPACK_DEFINE_ARRAY(after, named, last, rows, compressedRows);
};

}
