#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriadock {

// How a row on the wire says what became of a member. The numbers are on the wire.
enum class RowStatus : std::uint8_t {
    Joining = 0,
    Serving = 1,
    Leaving = 2,
    Dead = 3,
    Left = 4, // Fell silent after it had said that it leaves.
    Detached = 5,
};

// What never changes during one incarnation.
struct MemberDetails {
    std::string name;
    std::string availabilityZone;
    std::uint32_t peerHost = 0;
    std::uint16_t peerPort = 0;
    std::uint32_t flowHost = 0;
    std::uint16_t flowPort = 0;
    std::uint32_t requestHost = 0;
    std::uint16_t requestPort = 0;
    std::uint32_t linkMegabits = 0;

    MSGPACK_DEFINE_ARRAY(
        name, availabilityZone, peerHost, peerPort, flowHost, flowPort, requestHost, requestPort, linkMegabits);
};

// News of one member. Of two rows the one with the higher incarnation is newer, then the one with the higher sequence,
// which only the member itself raises; at the same sequence a suspicion or a death counts more than life.
struct MemberRow {
    std::uint32_t id = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    std::uint8_t status = 0;
    bool suspected = false;
    std::uint64_t configurationVersion = 0;
    // Empty, or one.
    std::vector<MemberDetails> details;

    MSGPACK_DEFINE_ARRAY(id, incarnation, sequence, status, suspected, configurationVersion, details);
};

// A sign of life. A nonce tells its sender when it was sent; a peer that echoes it has heard the sender since then, and
// so proves contact both ways, which hearing the peer alone does not.
struct HeartbeatMessage {
    std::uint32_t nonce = 0;
    // The receiver's latest nonce, or 0.
    std::uint32_t echo = 0;
    bool wantsAnswer = false;
    bool wantsDetails = false;
    // The sender's own row; id and incarnation stand in the envelope.
    std::uint32_t sequence = 0;
    std::uint8_t status = 0;
    std::uint64_t configurationVersion = 0;
    // How many members the sender knows, dead or alive. A receiver that knows far fewer has missed news.
    std::uint32_t membersKnown = 0;
    std::vector<MemberDetails> details;
    std::vector<MemberRow> rows;

    MSGPACK_DEFINE_ARRAY(
        nonce, echo, wantsAnswer, wantsDetails, sequence, status, configurationVersion, membersKnown, details, rows);
};

// Asks the receiver to probe the target and to send a ProbeResultMessage when it answers.
struct ProbeRequestMessage {
    std::uint32_t target = 0;
    std::uint32_t nonce = 0;

    MSGPACK_DEFINE_ARRAY(target, nonce);
};

struct ProbeResultMessage {
    std::uint32_t target = 0;
    std::uint64_t targetIncarnation = 0;
    // The nonce of the request.
    std::uint32_t nonce = 0;

    MSGPACK_DEFINE_ARRAY(target, targetIncarnation, nonce);
};

// Asks for rows with details: of the named ids, or, when none is named, of the ids above "after".
struct MembersRequestMessage {
    std::uint32_t after = 0;
    std::vector<std::uint32_t> ids;
    // A balancer of an earlier version does not take packed rows.
    bool takesPacked = false;

    MSGPACK_DEFINE_ARRAY(after, ids, takesPacked);
};

struct MembersPageMessage {
    // Of the request.
    std::uint32_t after = 0;
    // True when the request named ids.
    bool named = false;
    // True when no row follows this page.
    bool last = false;
    std::vector<MemberRow> rows;
    // An array of rows as encodeMessage() writes it, packed; in place of `rows`.
    std::string packedRows {};

    MSGPACK_DEFINE_ARRAY(after, named, last, rows, packedRows);
};

}
