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

// Progress of the work for a key, as one holder knows it. Higher states are more advanced.
enum class ClaimState : std::uint8_t {
    Refused, // Never sent; must not run before the retry time that its caller was given.
    Claimed, // May be sent at any moment, or has been sent.
    Sent, // Sent to a backend server by this holder; not answered yet.
    Unknown, // Sent; the answer was lost.
    Answered, // Ran; the answer is kept if it was small.
};

std::string_view nameOf(ClaimState);

// What a holder remembers of one key.
struct ClaimRecord {
    std::uint64_t fingerprint = 0; // Hash of the content, to detect a key reused for other content.
    std::uint64_t issuedEpoch = 0;
    std::uint64_t sequence = 0; // Increases with each claim that one runner makes.
    BalancerInstance runner;
    TimePoint since; // Time of the last change; for Refused, the time from which the key may run.
    ClaimState state = ClaimState::Claimed;
    SharedResponse answer;
};

// A record sent to another holder. It carries an age because clocks of two machines can't be compared.
struct ClaimCopy {
    KeyDigest digest;
    ClaimRecord record;
    Duration age {};
};

// Claims that could not be recovered because no holder that may have them answered.
struct LostClaims {
    // Tickets issued under this epoch or later are newer than the loss, so they can't be among the lost claims.
    std::uint64_t floorEpoch = 0;
    // Pairs that may hold the claims, newest first. The claims are recovered when one of the pairs answers.
    std::vector<ClaimPair> pairs;
    bool isHistoryComplete = false;
    // Time until the loss expires; absent while a lost pair may still be acting.
    std::optional<Duration> remaining;

    bool operator==(const LostClaims&) const = default;
};

// All that a holder knows of one bucket, as it is transferred.
struct BucketContents {
    std::vector<ClaimCopy> claims;
    // Claims of tickets issued before this epoch may have been removed.
    std::uint64_t expiredEpoch = 0;
    std::optional<LostClaims> lost;
};

// Limits on the claims kept in memory.
struct ClaimLimits {
    std::size_t claims = 200'000;
    std::size_t answerBytes = 32UL * 1024 * 1024;
    // Longer answers are not kept; a retry is then told that the answer can't be repeated.
    std::size_t maxKeptAnswerBytes = 4096;
    // How long a claim is kept after its last change.
    std::chrono::seconds retention { 3600 };
};

// The claims that one balancer holds as owner or backup, in buckets. The size is bounded: a full table rejects new keys
// and never drops a claim within its retention time.
class ClaimTable {
public:
    explicit ClaimTable(const ClaimLimits& limits);

    const ClaimRecord* find(std::uint32_t bucket, const KeyDigest&) const;
    // Adds or overwrites a record. Returns false when the table is full and the key is new.
    bool put(std::uint32_t bucket, const KeyDigest&, ClaimRecord);
    void erase(std::uint32_t bucket, const KeyDigest&);

    // Whether the record of a key may have been removed after its retention time.
    bool mayHaveExpired(std::uint32_t bucket, const RequestKey&) const;
    std::uint64_t expiredEpoch(std::uint32_t bucket) const { return buckets_[bucket].expiredEpoch; }

    // Copies a bucket for another holder, and merges such a copy. Merging keeps the more advanced record of each key
    // and ignores the limit, because a claim that another holder acknowledged must not be dropped.
    std::vector<ClaimCopy> copy(std::uint32_t bucket, TimePoint now) const;
    void merge(std::uint32_t bucket, const BucketContents&, TimePoint now);
    void clear(std::uint32_t bucket);

    // Removes claims older than the retention time, a few buckets per call. Claims of tickets issued under the current
    // epoch are kept, because expiredEpoch can't cover them yet.
    void expire(std::uint64_t currentEpoch, TimePoint now);

    std::size_t size() const { return size_; }
    std::size_t answerBytes() const { return answerBytes_; }
    const ClaimLimits& limits() const { return limits_; }

private:
    struct Bucket {
        absl::flat_hash_map<KeyDigest, ClaimRecord> records;
        std::uint64_t expiredEpoch = 0;
    };

    void store(std::uint32_t bucket, const KeyDigest&, ClaimRecord);
    void dropLargeAnswer(ClaimRecord&);
    void expireBucket(Bucket&, std::uint64_t currentEpoch, TimePoint now);

    ClaimLimits limits_;
    std::vector<Bucket> buckets_;
    std::size_t size_ = 0;
    std::size_t answerBytes_ = 0;
    std::uint32_t nextToExpire_ = 0;
};

}
