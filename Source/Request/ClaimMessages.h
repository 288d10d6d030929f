#pragma once

#include "Request/ClaimTable.h"
#include "Request/ClaimTerm.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace wisteriadock {

// What holders of claims say to each other. Messages may be lost, repeated and reordered. The shell adds who sent one,
// with the sender's incarnation, and drops messages of an incarnation older than the newest it knows.

// New owner to an earlier holder: stop acting under older epochs, and say what you hold of this bucket.
struct RecoverBucket {
    std::uint64_t epoch = 0;
    std::uint32_t bucket = 0;
};

// The answer. Contents are whole when installedEpoch is not zero. Can be large; goes by HTTP/2, not by datagram.
struct BucketSnapshot {
    std::uint64_t epoch = 0;
    std::uint32_t bucket = 0;
    // The newest epoch for which the sender's copy was whole; 0 for none.
    std::uint64_t installedEpoch = 0;
    BucketContents contents;
};

// Owner to backup: hold this bucket under this epoch. Without whole contents it only asks whether the backup's copy
// is the one of baseEpoch already, which spares sending the claims again.
struct InstallBucket {
    std::uint64_t epoch = 0;
    std::uint32_t bucket = 0;
    std::uint64_t baseEpoch = 0;
    bool isWhole = false;
    BucketContents contents;
};

struct BucketInstalled {
    std::uint64_t epoch = 0;
    std::uint32_t bucket = 0;
    // False when the backup needs the whole contents.
    bool accepted = false;
};

// Owner to backup, before the work is sent.
struct ClaimKey {
    std::uint64_t epoch = 0;
    std::uint32_t bucket = 0;
    std::uint64_t sequence = 0;
    KeyDigest digest;
    std::uint64_t fingerprint = 0;
    std::uint64_t issuedEpoch = 0;
};

struct ClaimReply {
    // The newest epoch that the backup knows of.
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    bool accepted = false;
};

// Owner to backup: the claim with this number will not be used.
struct WithdrawClaim {
    std::uint32_t bucket = 0;
    KeyDigest digest;
    std::uint64_t sequence = 0;
};

// Runner to the bucket's present holders: how the work ended.
struct ClaimOutcome {
    std::uint32_t bucket = 0;
    KeyDigest digest;
    std::uint64_t sequence = 0;
    bool isAnswered = false;
    // Set when the answer is small enough to be kept.
    SharedResponse answer;
};

// Owner to backup: is this epoch still the newest that you know? One such question serves all refusals that wait.
struct CheckEpoch {
    std::uint64_t epoch = 0;
    std::uint64_t nonce = 0;
};

struct EpochChecked {
    std::uint64_t epoch = 0;
    std::uint64_t nonce = 0;
    bool accepted = false;
};

// Anybody to a balancer that seems to be behind.
struct TermUpdate {
    ClaimTerm term;
};

// One balancer asks another for the use of a free slot of a service.
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

// A message that the shell must send.
struct OutgoingMessage {
    BalancerInstance to;
    RequestMessage message;
};

}
