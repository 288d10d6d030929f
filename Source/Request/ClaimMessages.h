#pragma once

#include "Request/ClaimTable.h"
#include "Request/ClaimTerm.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace wisteriadock {

// Messages between balancers that hold claims. Messages may be lost, repeated and reordered. The transport adds the
// sender with its incarnation, and drops messages of an incarnation older than the newest known one.

// New owner to an earlier holder: stop acting under older epochs and send the contents of this bucket.
struct RecoverBucket {
    std::uint64_t epoch = 0;
    std::uint32_t bucket = 0;
};

// Answer to RecoverBucket. The contents are complete when installedEpoch is not zero. Can be large, so it is sent by
// HTTP/2 instead of a datagram.
struct BucketSnapshot {
    std::uint64_t epoch = 0;
    std::uint32_t bucket = 0;
    // The newest epoch for which the sender's copy was complete; 0 for none.
    std::uint64_t installedEpoch = 0;
    BucketContents contents;
};

// Owner to backup: hold this bucket under this epoch. Without the full contents it only asks whether the backup already
// has the copy of baseEpoch, which saves sending the claims again.
struct InstallBucket {
    std::uint64_t epoch = 0;
    std::uint32_t bucket = 0;
    std::uint64_t baseEpoch = 0;
    bool hasContents = false;
    BucketContents contents;
};

struct BucketInstalled {
    std::uint64_t epoch = 0;
    std::uint32_t bucket = 0;
    // False when the backup needs the full contents.
    bool accepted = false;
};

// Owner to backup, before the work is sent to a backend server.
struct ClaimKey {
    std::uint64_t epoch = 0;
    std::uint32_t bucket = 0;
    std::uint64_t sequence = 0;
    KeyDigest digest;
    std::uint64_t fingerprint = 0;
    std::uint64_t issuedEpoch = 0;
};

struct ClaimReply {
    // The newest epoch that the backup knows.
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    bool accepted = false;
};

// Owner to backup: the claim with this sequence number will not be used.
struct WithdrawClaim {
    std::uint32_t bucket = 0;
    KeyDigest digest;
    std::uint64_t sequence = 0;
};

// Sent by the balancer that ran the work to the bucket's current holders: the outcome of the work.
struct ClaimOutcome {
    std::uint32_t bucket = 0;
    KeyDigest digest;
    std::uint64_t sequence = 0;
    bool isAnswered = false;
    // Set when the answer is small enough to be kept.
    SharedResponse answer;
};

// Owner to backup: checks that this epoch is the newest that the backup knows. One check serves all pending refusals.
struct CheckEpoch {
    std::uint64_t epoch = 0;
    std::uint64_t nonce = 0;
};

struct EpochChecked {
    std::uint64_t epoch = 0;
    std::uint64_t nonce = 0;
    bool accepted = false;
};

// Sends a newer ownership record to a balancer whose record is outdated.
struct TermUpdate {
    ClaimTerm term;
};

// Asks another balancer for the use of a free slot of a service.
struct BorrowSlot {
    ServiceId service;
    std::uint64_t nonce = 0;
};

struct SlotReply {
    std::uint64_t nonce = 0;
    bool isLent = false;
    BackendServerId server;
};

struct ReturnSlot {
    std::uint64_t nonce = 0;
    BackendServerId server;
};

using RequestMessage = std::variant<RecoverBucket, BucketSnapshot, InstallBucket, BucketInstalled, ClaimKey, ClaimReply,
    WithdrawClaim, ClaimOutcome, CheckEpoch, EpochChecked, TermUpdate, BorrowSlot, SlotReply, ReturnSlot>;

// A message to be sent by the caller of the RequestRunner.
struct OutgoingMessage {
    BalancerInstance to;
    RequestMessage message;
};

}
