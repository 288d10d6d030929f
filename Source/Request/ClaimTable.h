#pragma once

#include "Core/Clock.h"
#include "Request/ClaimTerm.h"
#include "Request/RequestKey.h"
#include "Request/RequestTypes.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace wisteriadock {

// How far the work that a key names has come, as one holder knows it.
enum class ClaimState : std::uint8_t {
    Refused, // Never sent; not to be run before the time that its caller was told to come back.
    Claimed, // Its runner may send it at any moment, or has.
    Sent, // Sent to a backend server by this holder; not answered yet.
    Unknown, // Sent; the answer was lost.
    Answered, // Ran; the answer is kept if it was small.
};

std::string_view nameOf(ClaimState);

// What is remembered of one key.
struct ClaimRecord {
    std::uint64_t fingerprint = 0; // Hash of the content, to notice a key that is used for something else.
    std::uint64_t issuedEpoch = 0;
    std::uint64_t sequence = 0; // Rises with each claim that one runner makes.
    BalancerInstance runner;
    TimePoint since; // When it last changed; for Refused, when it may run.
    ClaimState state = ClaimState::Claimed;
    SharedResponse answer;
};

// A record on its way to another holder. Clocks of two machines don't compare, so it carries ages.
struct ClaimCopy {
    KeyDigest digest;
    ClaimRecord record;
    Duration age {};
};

// The claims that a holder could not recover: nobody answered who could have held them.
struct LostClaims {
    // Tickets issued under this epoch or later were issued after the loss, so they can't be among the lost.
    std::uint64_t floorEpoch = 0;
    // Pairs that may hold them, newest first. One of them that comes back heals the loss.
    std::vector<ClaimPair> pairs;
    bool isHistoryWhole = false;
    // How long keys of callers' own making stay in doubt; absent while some lost pair may still be acting.
    std::optional<Duration> remaining;

    bool operator==(const LostClaims&) const = default;
};

// All that a holder knows of one bucket, as it is handed over.
struct BucketContents {
    std::vector<ClaimCopy> claims;
    // Tickets issued before this epoch may have been forgotten.
    std::uint64_t forgottenEpoch = 0;
    std::optional<LostClaims> lost;
};

// Bounds on the memory of claims.
struct ClaimLimits {
    std::size_t claims = 200'000;
    std::size_t answerBytes = 32UL * 1024 * 1024;
    // Longer answers are not kept; a retry is then told that the outcome can't be repeated.
    std::size_t maxKeptAnswerBytes = 4096;
    // For how long a key is remembered after it last changed.
    std::chrono::seconds retention { 3600 };
};

// The claims that one balancer holds as owner or backup, in buckets. Bounded: a full table takes no new key rather than
// forgetting one that it promised to remember.
class ClaimTable {
public:
    explicit ClaimTable(const ClaimLimits& limits);

    const ClaimRecord* find(std::uint32_t bucket, const KeyDigest&) const;
    // Adds or overwrites. Returns false when the table is full and the key is new.
    bool put(std::uint32_t bucket, const KeyDigest&, ClaimRecord);
    void erase(std::uint32_t bucket, const KeyDigest&);

    // Whether a key without a record may have been forgotten.
    bool mayHaveForgotten(std::uint32_t bucket, const RequestKey&) const;
    std::uint64_t forgottenEpoch(std::uint32_t bucket) const { return buckets_[bucket].forgottenEpoch; }

    // Copies of a bucket for another holder, and taking such copies in. Merging keeps what says more about a key, and
    // takes no notice of the bound: a claim that another holder was promised must not be dropped.
    std::vector<ClaimCopy> copy(std::uint32_t bucket, TimePoint now) const;
    void merge(std::uint32_t bucket, const BucketContents&, TimePoint now);
    void clear(std::uint32_t bucket);

    // Forgets what is older than promised, some buckets a call. Tickets issued under the current epoch are kept: no
    // later epoch could mark them as too old.
    void forget(std::uint64_t currentEpoch, TimePoint now);

    std::size_t size() const { return size_; }
    std::size_t answerBytes() const { return answerBytes_; }
    const ClaimLimits& limits() const { return limits_; }

private:
    struct Bucket {
        absl::flat_hash_map<KeyDigest, ClaimRecord> records;
        std::uint64_t forgottenEpoch = 0;
    };

    void store(std::uint32_t bucket, const KeyDigest&, ClaimRecord);
    void dropLargeAnswer(ClaimRecord&);
    void forgetBucket(Bucket&, std::uint64_t currentEpoch, TimePoint now);

    ClaimLimits limits_;
    std::vector<Bucket> buckets_;
    std::size_t size_ = 0;
    std::size_t answerBytes_ = 0;
    std::uint32_t nextToForget_ = 0;
};

}
